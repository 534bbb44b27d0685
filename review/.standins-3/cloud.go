package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// The service with the machines: GET /machines, POST /machine-move and POST
// /machine-upkeep of PROTOCOL.md.

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

type machine struct {
	id, pool, state string
	w               *worker // nil in a standby pool and while it is away
	lives           int
	upkept          map[int]bool
}

type wave struct {
	Wave     int      `json:"wave"`
	Machines []string `json:"machines"`
	Duration int      `json:"duration-s"`
	Max      int      `json:"max-count"`
}

type cloud struct {
	store   *store
	rec     *recorder
	standby map[string]bool

	mu       sync.Mutex
	machines map[string]*machine
	waves    map[int]wave
	broken   []string // breaches of LIMIT
	upkeeps  int

	// loseAnswer is called for each upkeep that is carried out; if it returns
	// true, the connection is closed without an answer.
	loseAnswer func(n int) bool
	prepare    func(w *worker) // called for each new worker
}

func newCloud(st *store, rec *recorder) *cloud {
	return &cloud{store: st, rec: rec, standby: map[string]bool{}, machines: map[string]*machine{}, waves: map[int]wave{}}
}

// add adds a machine that is up.
func (c *cloud) add(id, pool string) (*worker, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &machine{id: id, pool: pool, state: "up", upkept: map[int]bool{}}
	c.machines[id] = m
	return m.w, c.newLife(m)
}

// newLife starts the machine's next worker. The caller holds the lock.
func (c *cloud) newLife(m *machine) error {
	m.state, m.w = "up", nil
	if c.standby[m.pool] {
		return nil
	}
	m.lives++
	w, err := startWorker(c.store, c.rec, fmt.Sprintf("i-%s-%d", m.id, m.lives), m.id, m.pool)
	if err != nil {
		return err
	}
	m.w = w
	if c.prepare != nil {
		c.prepare(w)
	}
	return nil
}

func (c *cloud) request(w wave) {
	c.mu.Lock()
	c.waves[w.Wave] = w
	c.mu.Unlock()
	c.store.Put("op", fmt.Sprintf("wave/%d", w.Wave), w)
}

func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	if r.URL.Path == "/machines" {
		c.list(rw)
		return
	}
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	holder, token := r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token")
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[o.Machine]
	if m == nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/machine-move" {
		reason := c.move(m, o.Pool)
		c.rec.log("move of %s to %s by %s (token %s): %s", m.id, o.Pool, holder, token, orOK(reason))
		reply(rw, reason)
		return
	}
	reason, began := c.upkeep(m, o.Wave)
	lost := false
	if began {
		c.upkeeps++
		lost = c.loseAnswer != nil && c.loseAnswer(c.upkeeps)
	}
	text := orOK(reason)
	if lost {
		text += ", and the answer is lost"
	}
	c.rec.log("upkeep of %s (wave %d) by %s (token %s): %s", m.id, o.Wave, holder, token, text)
	if lost {
		if conn, _, err := rw.(http.Hijacker).Hijack(); err == nil {
			_ = conn.Close()
		}
		return
	}
	reply(rw, reason)
}

func orOK(reason string) string {
	if reason == "" {
		return "done"
	}
	return reason
}

func reply(rw http.ResponseWriter, reason string) {
	if reason == "" {
		answer(rw, http.StatusOK, map[string]any{})
		return
	}
	answer(rw, http.StatusConflict, map[string]any{"reason": reason})
}

func (c *cloud) move(m *machine, pool string) (reason string) {
	if m.pool == pool {
		return ""
	}
	if m.state != "up" {
		return "busy"
	}
	c.takeAway(m, "moving", moveTime)
	m.pool = pool
	return ""
}

// upkeep begins the upkeep of a machine, and checks LIMIT: an upkeep must not begin
// while max-count machines of its wave are down for theirs.
func (c *cloud) upkeep(m *machine, number int) (reason string, began bool) {
	w, ok := c.waves[number]
	due := false
	for _, id := range w.Machines {
		due = due || id == m.id
	}
	switch {
	case !ok || !due:
		return "wave", false
	case m.upkept[number]:
		return "", false
	case m.state != "up":
		return "busy", false
	}
	var down []string
	for _, id := range w.Machines {
		if other := c.machines[id]; other != nil && other.state == "upkeep" {
			down = append(down, id)
		}
	}
	if len(down) >= w.Max {
		text := fmt.Sprintf("the upkeep of %s begins while %v of wave %d are down for theirs; max-count is %d", m.id, down, number, w.Max)
		c.broken = append(c.broken, text)
		c.rec.log("LIMIT: %s", text)
	}
	m.upkept[number] = true
	c.takeAway(m, "upkeep", upkeepTime)
	return "", true
}

// takeAway ends the machine's worker; a new one comes after d.
func (c *cloud) takeAway(m *machine, state string, d time.Duration) {
	m.state = state
	if w := m.w; w != nil {
		m.w = nil
		w.end()
		time.AfterFunc(3*heartbeat, func() { c.store.Remove("servers", w.id) })
	}
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if err := c.newLife(m); err != nil {
			c.rec.log("machine %s does not come back: %v", m.id, err)
			return
		}
		c.rec.log("machine %s is up again in %s", m.id, m.pool)
	})
}

func (c *cloud) list(rw http.ResponseWriter) {
	c.mu.Lock()
	list := []map[string]any{}
	ids := make([]string, 0, len(c.machines))
	for id := range c.machines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		m := c.machines[id]
		worker := ""
		if m.w != nil {
			worker = m.w.id
		}
		list = append(list, map[string]any{
			"machine": id, "pool": m.pool, "state": m.state, "zone": "z-1", "labels": []string{"a", "r1-1"},
			"capacity": map[string]int{"cpu": 16000, "mem-mb": 32768, "gpu": 0}, "id": worker,
		})
	}
	c.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{"machines": list, "next-token": nil})
}
