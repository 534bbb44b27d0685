package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The platform's metadata store: rows-tx, rows-get, rows-parts and rows-feed of
// PROTOCOL.md. An answer takes answerTime, a transaction txTime.

const (
	answerTime   = 4 * time.Millisecond
	txTime       = 6 * time.Millisecond
	historyTime  = 20 * time.Second
	maxRowBytes  = 65536
	maxEntries   = 100
	maxPageRows  = 500
	maxPageBytes = 1 << 20
)

type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowID
	Value   string `json:"value,omitempty"` // base64
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type change struct {
	row
	at time.Time
}

type part struct {
	rows map[string]row
	keys []string  // sorted
	free time.Time // when the last accepted transaction ends
}

// store is the state behind all of its listeners.
type store struct {
	mu      sync.Mutex
	tables  map[string]map[string]*part
	version uint64
	history map[string][]change // by table
	lost    map[string]uint64   // by table: version up to which history is gone
	changed chan struct{}       // closed and replaced with each change
	started time.Time

	writes, reads budget
}

func newStore() *store {
	return &store{tables: map[string]map[string]*part{}, history: map[string][]change{}, lost: map[string]uint64{}, changed: make(chan struct{}), started: time.Now(), writes: budget{limit: 600}, reads: budget{limit: 2000}}
}

func (s *store) part(table, name string, create bool) *part {
	t := s.tables[table]
	if t == nil {
		if !create {
			return nil
		}
		t = map[string]*part{}
		s.tables[table] = t
	}
	p := t[name]
	if p == nil && create {
		p = &part{rows: map[string]row{}}
		t[name] = p
	}
	return p
}

// set writes or, with an empty value and remove, removes a row. The caller holds
// the lock and has increased the version.
func (s *store) set(id rowID, value string, remove bool) {
	p := s.part(id.Table, id.Part, true)
	_, exists := p.rows[id.Key]
	at := sort.SearchStrings(p.keys, id.Key)
	r := row{rowID: id, Value: value, Version: s.version, Removed: remove}
	switch {
	case remove && exists:
		delete(p.rows, id.Key)
		p.keys = append(p.keys[:at], p.keys[at+1:]...)
	case remove:
		return
	default:
		p.rows[id.Key] = r
		if !exists {
			p.keys = append(p.keys, "")
			copy(p.keys[at+1:], p.keys[at:])
			p.keys[at] = id.Key
		}
	}
	now := time.Now()
	list := append(s.history[id.Table], change{r, now})
	drop := 0
	for drop < len(list) && now.Sub(list[drop].at) > historyTime {
		s.lost[id.Table] = list[drop].Version
		drop++
	}
	s.history[id.Table] = list[drop:]
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row for the operator or a worker.
func (s *store) Put(table, key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(rowID{table, "", key}, base64.StdEncoding.EncodeToString(data), false)
	s.notify()
}

// Value returns a row's value.
func (s *store) Value(table, partName, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(table, partName, false)
	if p == nil {
		return ""
	}
	data, _ := base64.StdEncoding.DecodeString(p.rows[key].Value)
	return string(data)
}

type transaction struct {
	Expect []struct {
		rowID
		Version uint64 `json:"ver"`
	} `json:"expect"`
	Set []struct {
		rowID
		Value string `json:"value"`
	} `json:"set-keys"`
	Remove []rowID `json:"remove"`
}

// budget limits calls to so many in each second.
type budget struct {
	limit, used, refused, peak int
	second                     int64
}

// take reports whether one more call is within the limit. The caller holds the lock.
func (b *budget) take() bool {
	if now := time.Now().Unix(); now != b.second {
		b.second, b.used = now, 0
	}
	if b.used >= b.limit {
		b.refused++
		return false
	}
	b.used++
	b.peak = max(b.peak, b.used)
	return true
}

// limited answers 429 if a call is beyond the limit.
func (s *store) limited(b *budget, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		ok := b.take()
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		serve(w, r)
	}
}

// handler serves the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.limited(&s.writes, s.transact))
	mux.HandleFunc("GET /rows-get", s.limited(&s.reads, s.get))
	mux.HandleFunc("GET /rows-parts", s.limited(&s.reads, s.listParts))
	mux.HandleFunc("GET /rows-feed", s.limited(&s.reads, s.feed))
	return mux
}

func (s *store) nowMs() int64 { return time.Since(s.started).Milliseconds() }

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, size, known, mixed := "", 0, false, false
	seen := func(id rowID) {
		mixed = mixed || known && id.Part != name
		name, known = id.Part, true
	}
	for _, e := range tx.Expect {
		seen(e.rowID)
	}
	for _, e := range tx.Set {
		seen(e.rowID)
		size = max(size, base64.StdEncoding.DecodedLen(len(e.Value)))
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range tx.Remove {
		seen(e)
	}
	if mixed || size > maxRowBytes+2 || len(tx.Expect)+len(tx.Set)+len(tx.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A part executes one transaction after the other, 200 a second.
	s.mu.Lock()
	now, busy := time.Now(), s.part("\x00busy", name, true)
	start := busy.free
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > time.Second {
		s.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	busy.free = start.Add(5 * time.Millisecond)
	s.mu.Unlock()
	time.Sleep(start.Add(txTime).Sub(now))

	s.mu.Lock()
	failed := false
	var current []row
	for _, e := range tx.Expect {
		c := row{rowID: e.rowID}
		if p := s.part(e.Table, e.Part, false); p != nil {
			if found, ok := p.rows[e.Key]; ok {
				c = found
			}
		}
		current = append(current, c)
		failed = failed || c.Version != e.Version
	}
	if failed {
		s.mu.Unlock()
		answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "now-ms": s.nowMs()})
		return
	}
	s.version++
	version := s.version
	for _, e := range tx.Set {
		s.set(e.rowID, e.Value, false)
	}
	for _, e := range tx.Remove {
		s.set(e, "", true)
	}
	s.notify()
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"ver": version, "now-ms": s.nowMs()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	from, target := q.Get("from"), q.Get("target")
	rows, more, size := []row{}, false, 0
	s.mu.Lock()
	if p := s.part(q.Get("table"), q.Get("part"), false); p != nil {
		for i := sort.SearchStrings(p.keys, from); i < len(p.keys) && (target == "" || p.keys[i] < target); i++ {
			one := p.rows[p.keys[i]]
			if len(rows) == limit || len(rows) > 0 && size+len(one.Value) > maxPageBytes {
				more = true
				break
			}
			rows, size = append(rows, one), size+len(one.Value)
		}
	}
	version := s.version
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"rows": rows, "has-more": more, "ver": version, "now-ms": s.nowMs()})
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	names := []string{}
	s.mu.Lock()
	for name, p := range s.tables[q.Get("table")] {
		if len(p.keys) > 0 && name > q.Get("after") {
			names = append(names, name)
		}
	}
	s.mu.Unlock()
	sort.Strings(names)
	answer(w, http.StatusOK, map[string]any{"parts": names[:min(len(names), 1000)]})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait-ms"))
	until := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer until.Stop()
	table := q.Get("table")
	for {
		s.mu.Lock()
		if after < s.lost[table] {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		list := s.history[table]
		first := sort.Search(len(list), func(i int) bool { return list[i].Version > after })
		rows, size, version := []row{}, 0, s.version
		for _, c := range list[first:] {
			if len(rows) >= maxPageRows && c.Version != rows[len(rows)-1].Version || len(rows) > 0 && size+len(c.Value) > maxPageBytes && c.Version != rows[len(rows)-1].Version {
				version = rows[len(rows)-1].Version
				break
			}
			rows, size = append(rows, c.row), size+len(c.Value)
		}
		changed := s.changed
		s.mu.Unlock()
		if len(rows) == 0 && waitMs > 0 {
			select {
			case <-changed:
				continue
			case <-until.C:
			case <-r.Context().Done():
				return
			}
		}
		answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now-ms": s.nowMs()})
		return
	}
}

// Remove removes a row of the platform's.
func (s *store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(rowID{table, "", key}, "", true)
	s.notify()
}
