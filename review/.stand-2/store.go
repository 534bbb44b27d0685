package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey identifies a row of the metadata store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// txTime is the duration of a transaction, as in the settings of a deployment.
const txTime = 6 * time.Millisecond

// maxPageRows is the number of rows that a read returns at most.
const maxPageRows = 500

// maxTxEntries is the number of entries that a transaction may have.
const maxTxEntries = 100

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	history []row
	changed chan struct{} // closed and replaced with each change
	start   time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), start: time.Now()}
}

// set writes a row on behalf of the operator or of a worker.
func (s *store) set(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{rowKey: rowKey{table, "", key}, Value: data, Version: s.version})
	s.notify()
}

// remove removes a row on behalf of a worker.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := rowKey{table, "", key}
	if _, ok := s.rows[k]; !ok {
		return
	}
	s.version++
	s.put(row{rowKey: k, Version: s.version, Removed: true})
	s.notify()
}

// value returns the value of a row, nil if there is none.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, "", key}].Value
}

func (s *store) put(r row) {
	if r.Removed {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type transaction struct {
	Expect []struct {
		rowKey
		Version uint64 `json:"ver"`
	} `json:"expect"`
	Set []struct {
		rowKey
		Value []byte `json:"value"`
	} `json:"set-keys"`
	Remove []rowKey `json:"remove"`
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"ver"`
	Now     int64  `json:"now-ms"`
}

func (s *store) answer() rowsAnswer {
	return rowsAnswer{Rows: []row{}, Version: s.version, Now: time.Since(s.start).Milliseconds()}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		s.transact(w, r)
	case "GET /rows-get":
		s.get(w, r)
	case "GET /rows-parts":
		s.parts(w, r)
	case "GET /rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// check returns the status with which a transaction is refused, 0 if it is valid.
func (tx *transaction) check() int {
	parts := map[string]bool{}
	for _, e := range tx.Expect {
		parts[e.Part] = true
	}
	for _, e := range tx.Set {
		parts[e.Part] = true
		if e.Table == "op" || e.Table == "servers" {
			return http.StatusForbidden
		}
	}
	for _, e := range tx.Remove {
		parts[e.Part] = true
		if e.Table == "op" || e.Table == "servers" {
			return http.StatusForbidden
		}
	}
	if len(parts) > 1 || len(tx.Expect)+len(tx.Set)+len(tx.Remove) > maxTxEntries {
		return http.StatusBadRequest
	}
	return 0
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := tx.check(); status != 0 {
		w.WriteHeader(status)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	a := s.answer()
	for _, e := range tx.Expect {
		current, ok := s.rows[e.rowKey]
		conflict = conflict || current.Version != e.Version
		if ok {
			a.Rows = append(a.Rows, current)
		}
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, a)
		return
	}
	s.version++
	for _, e := range tx.Set {
		s.put(row{rowKey: e.rowKey, Value: e.Value, Version: s.version})
	}
	for _, k := range tx.Remove {
		s.put(row{rowKey: k, Version: s.version, Removed: true})
	}
	s.notify()
	a = s.answer()
	reply(w, http.StatusOK, a)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.answer()
	for k, found := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			a.Rows = append(a.Rows, found)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	reply(w, http.StatusOK, a)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.Table == q.Get("table") && (q.Get("after") == "" || k.Part > q.Get("after")) {
			seen[k.Part] = true
		}
	}
	parts := []string{}
	for p := range seen {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	reply(w, http.StatusOK, map[string]any{"parts": parts[:min(len(parts), 1000)], "ver": s.version, "now-ms": time.Since(s.start).Milliseconds()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		a := s.answer()
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		for _, c := range s.history[first:] {
			if c.Table == q.Get("table") {
				a.Rows = append(a.Rows, c)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode an answer: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
