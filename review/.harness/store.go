package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as in the settings file of a small deployment.
const (
	storeAnswerTime  = 4 * time.Millisecond
	transactionTime  = 6 * time.Millisecond
	writesPerSecond  = 600
	readsPerSecond   = 2000
	maxRowBytes      = 65536
	maxResponseRows  = 500
	maxResponseBytes = 1 << 20
	maxListedParts   = 1000
)

type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowID
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type partRows struct {
	rows   map[string]row
	keys   []string
	sorted bool // keys are in order
}

func (p *partRows) sort() {
	if !p.sorted {
		slices.Sort(p.keys)
		p.sorted = true
	}
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu        sync.Mutex
	tables    map[string]map[string]*partRows
	version   uint64
	history   []row
	truncated uint64 // changes up to this version are not available any more
	changed   chan struct{}
	busyUntil map[string]time.Time
	began     time.Time

	second        int64
	reads, writes int
	refused       int
}

func newStore() *store {
	return &store{tables: map[string]map[string]*partRows{}, changed: make(chan struct{}), busyUntil: map[string]time.Time{}, began: time.Now()}
}

func (s *store) part(table, part string, create bool) *partRows {
	t := s.tables[table]
	if t == nil {
		if !create {
			return nil
		}
		t = map[string]*partRows{}
		s.tables[table] = t
	}
	p := t[part]
	if p == nil && create {
		p = &partRows{rows: map[string]row{}}
		t[part] = p
	}
	return p
}

// put stores a row with the present version.
func (s *store) put(id rowID, value []byte, record bool) {
	p := s.part(id.Table, id.Part, true)
	if _, ok := p.rows[id.Key]; !ok {
		p.keys = append(p.keys, id.Key)
		p.sorted = false
	}
	r := row{rowID: id, Value: value, Version: s.version}
	p.rows[id.Key] = r
	if record {
		s.history = append(s.history, r)
	}
}

func (s *store) remove(id rowID) {
	p := s.part(id.Table, id.Part, false)
	if p == nil {
		return
	}
	if _, ok := p.rows[id.Key]; !ok {
		return
	}
	delete(p.rows, id.Key)
	p.keys = slices.DeleteFunc(p.keys, func(k string) bool { return k == id.Key })
	if len(p.rows) == 0 {
		delete(s.tables[id.Table], id.Part)
	}
	s.history = append(s.history, row{rowID: id, Version: s.version, Removed: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set stores a row as the operator or a worker does.
func (s *store) set(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(rowID{table, "", key}, value, true)
	s.notify()
}

func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.remove(rowID{table, "", key})
	s.notify()
}

// all returns the rows of a table.
func (s *store) all(table string) (list []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.tables[table] {
		for _, r := range p.rows {
			list = append(list, r)
		}
	}
	return list
}

// allow counts a call and reports whether it is within the rate limits.
func (s *store) allow(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	n, limit := &s.reads, readsPerSecond
	if write {
		n, limit = &s.writes, writesPerSecond
	}
	*n++
	if *n > limit {
		s.refused++
		return false
	}
	return true
}

func (s *store) nowMs() int64 { return time.Since(s.began).Milliseconds() + 1 }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.allow(r.URL.Path == "/rows-tx") {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch r.URL.Path {
	case "/rows-tx":
		s.transact(w, r)
	case "/rows-get":
		time.Sleep(storeAnswerTime)
		s.get(w, r)
	case "/rows-parts":
		time.Sleep(storeAnswerTime)
		s.parts(w, r)
	case "/rows-feed":
		time.Sleep(storeAnswerTime)
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type transaction struct {
	Expect []struct {
		rowID
		Version uint64 `json:"ver"`
	} `json:"expect"`
	Set []struct {
		rowID
		Value []byte `json:"value"`
	} `json:"set-keys"`
	Remove []rowID `json:"remove"`
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"ver"`
	Now     int64  `json:"now-ms"`
}

func (tx *transaction) part() string {
	switch {
	case len(tx.Set) > 0:
		return tx.Set[0].Part
	case len(tx.Expect) > 0:
		return tx.Expect[0].Part
	case len(tx.Remove) > 0:
		return tx.Remove[0].Part
	}
	return ""
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.Expect)+len(tx.Set)+len(tx.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, set := range tx.Set {
		if len(set.Value) > maxRowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if set.Table == "op" || set.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	now := time.Now()
	start := now
	if busy := s.busyUntil[tx.part()]; busy.After(now) {
		start = busy
	}
	if start.Sub(now) > time.Second {
		s.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.busyUntil[tx.part()] = start.Add(time.Second / 200) // part-writes-s
	s.mu.Unlock()
	time.Sleep(start.Add(transactionTime).Sub(now))
	s.mu.Lock()
	answer := rowsAnswer{Rows: []row{}}
	ok := true
	for _, e := range tx.Expect {
		current := row{rowID: e.rowID}
		if p := s.part(e.Table, e.Part, false); p != nil {
			if found, exists := p.rows[e.Key]; exists {
				current = found
			}
		}
		if current.Version > 0 {
			answer.Rows = append(answer.Rows, current)
		}
		ok = ok && current.Version == e.Version
	}
	if ok {
		answer.Rows = nil
		s.version++
		for _, set := range tx.Set {
			s.put(set.rowID, set.Value, true)
		}
		for _, id := range tx.Remove {
			s.remove(id)
		}
		s.notify()
	}
	answer.Version, answer.Now = s.version, s.nowMs()
	s.mu.Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	reply(w, status, answer)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, to := q.Get("from"), q.Get("target")
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxResponseRows {
		limit = maxResponseRows
	}
	s.mu.Lock()
	answer := rowsAnswer{Rows: []row{}, Version: s.version, Now: s.nowMs()}
	if p := s.part(q.Get("table"), q.Get("part"), false); p != nil {
		p.sort()
		size := 0
		for i := sort.SearchStrings(p.keys, from); i < len(p.keys); i++ {
			if to != "" && p.keys[i] >= to {
				break
			}
			found := p.rows[p.keys[i]]
			size += len(found.Value)*4/3 + 200
			if len(answer.Rows) == limit || len(answer.Rows) > 0 && size > maxResponseBytes {
				answer.More = true
				break
			}
			answer.Rows = append(answer.Rows, found)
		}
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var list []string
	s.mu.Lock()
	for part := range s.tables[q.Get("table")] {
		if !q.Has("after") || part > q.Get("after") {
			list = append(list, part)
		}
	}
	s.mu.Unlock()
	slices.Sort(list)
	more := len(list) > maxListedParts
	if more {
		list = list[:maxListedParts]
	}
	if list == nil {
		list = []string{}
	}
	reply(w, http.StatusOK, map[string]any{"parts": list, "has-more": more})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.truncated {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		answer := rowsAnswer{Rows: []row{}, Version: s.version, Now: s.nowMs()}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		for _, change := range s.history[first:] {
			if change.Table == q.Get("table") {
				answer.Rows = append(answer.Rows, change)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Rows) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may be gone
}
