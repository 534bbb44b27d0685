package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the settings file, those of a small deployment.
const (
	contactMs   = 3000
	cancelMs    = 3000
	killGraceMs = 900
	holdMaxMs   = 6000
	moveTime    = 1500 * time.Millisecond
	upkeepTime  = 2 * time.Second
)

// event is something that workers have seen.
type event struct {
	at      time.Time
	kind    string // "start" or an end
	task    string
	attempt int
	worker  string
	token   uint64
	spec    string
}

// platform is the stand-in of everything around the system: the store, the workers and
// the machine service.
type platform struct {
	store     *store
	storeAddr string
	cloudAddr string
	began     time.Time

	mu       sync.Mutex
	record   *os.File
	machines map[string]*machine
	order    []string
	lives    int
	tasks    map[string]taskInfo // by job
	events   []event
	waves    map[int][]string // machines by wave
}

type machine struct {
	id, pool, state string
	worker          *worker
	upkeeps         int
}

func newPlatform(record *os.File) (*platform, error) {
	p := &platform{store: newStore(), began: time.Now(), record: record, machines: map[string]*machine{}, tasks: map[string]taskInfo{}, waves: map[int][]string{}}
	var err error
	if p.storeAddr, _, err = serve(p.store); err != nil {
		return nil, err
	}
	p.cloudAddr, _, err = serve(http.HandlerFunc(p.serveCloud))
	return p, err
}

func serve(h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), s, nil
}

// note writes a line of the record.
func (p *platform) note(kind, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f %-7s %s\n", time.Since(p.began).Seconds(), kind, fmt.Sprintf(format, args...))
}

func (p *platform) addMachine(id, service string) error {
	p.mu.Lock()
	m := &machine{id: id, pool: service, state: "up"}
	p.machines[id] = m
	p.order = append(p.order, id)
	p.mu.Unlock()
	return p.startWorker(m)
}

func (p *platform) startWorker(m *machine) error {
	p.mu.Lock()
	p.lives++
	w := &worker{
		p: p, id: fmt.Sprintf("i-%08x", 0x7f3a9000+p.lives), machine: m.id, service: m.pool, born: time.Now().UnixMilli(), began: time.Now(),
		highest: map[string]int{}, changed: make(chan struct{}), ended: [][]any{},
	}
	p.mu.Unlock()
	var err error
	if w.addr, w.server, err = serve(w); err != nil {
		return err
	}
	p.mu.Lock()
	m.worker, m.state = w, "up"
	p.mu.Unlock()
	go w.live()
	return nil
}

func (p *platform) serveCloud(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	if r.URL.Path == "/machines" {
		p.listMachines(w)
		return
	}
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	m := p.machines[body.Machine]
	p.mu.Unlock()
	switch {
	case m == nil:
		w.WriteHeader(http.StatusBadRequest)
	case r.URL.Path == "/machine-upkeep" && !p.due(body.Wave, m.id):
		reply(w, http.StatusConflict, map[string]any{"reason": "wave"})
	case r.URL.Path == "/machine-upkeep" && m.upkeeps > 0:
		reply(w, http.StatusOK, map[string]any{}) // done already
	case m.state != "up":
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
	case r.URL.Path == "/machine-upkeep":
		p.note("UPKEEP", "machine %s of wave %d by %s, token %s", m.id, body.Wave, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"))
		p.mu.Lock()
		m.state = "upkeep"
		m.upkeeps++
		old := m.worker
		p.mu.Unlock()
		old.kill()
		time.AfterFunc(upkeepTime, func() { _ = p.startWorker(m) })
		reply(w, http.StatusOK, map[string]any{})
	default:
		p.note("MOVE", "machine %s from %s to %s by %s, token %s", m.id, m.pool, body.Pool, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"))
		p.mu.Lock()
		m.pool, m.state = body.Pool, "moving"
		old := m.worker
		p.mu.Unlock()
		old.kill()
		time.AfterFunc(moveTime, func() { _ = p.startWorker(m) })
		reply(w, http.StatusOK, map[string]any{})
	}
}

// requestWave writes a wave as the operator does.
func (p *platform) requestWave(number int, machines []string, within time.Duration, atOnce int) {
	p.mu.Lock()
	p.waves[number] = machines
	p.mu.Unlock()
	list, _ := json.Marshal(machines)
	p.store.set("op", fmt.Sprintf("wave/%d", number), []byte(fmt.Sprintf(`{"wave":%d,"machines":%s,"duration-s":%g,"max-count":%d}`, number, list, within.Seconds(), atOnce)))
	p.note("WAVE", "wave %d requested for %v", number, machines)
}

func (p *platform) due(wave int, machine string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.waves[wave], machine)
}

// waveState returns what the system has stored about a wave.
func (p *platform) waveState(number int) string {
	for _, r := range p.store.all("status") {
		var status struct {
			State string `json:"state"`
		}
		if r.Key == fmt.Sprintf("wave/%d", number) && json.Unmarshal(r.Value, &status) == nil {
			return status.State
		}
	}
	return ""
}

// upkeeps returns how many upkeeps of a machine have begun.
func (p *platform) upkeeps(machine string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machines[machine].upkeeps
}

func (p *platform) listMachines(w http.ResponseWriter) {
	p.mu.Lock()
	list := []map[string]any{}
	for _, id := range p.order {
		m := p.machines[id]
		list = append(list, map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": "z-1", "labels": []string{"a", "r1-1"},
			"capacity": map[string]int{"cpu": workerCPU, "mem-mb": workerMemMB, "gpu": 0}, "id": m.worker.id,
		})
	}
	p.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"machines": list, "next-token": nil})
}

func (p *platform) taskInfo(job string) taskInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tasks[job]
}

func (p *platform) started(w *worker, r *run, o order) {
	p.mu.Lock()
	p.events = append(p.events, event{time.Now(), "start", r.task, r.attempt, w.id, o.Token, o.Spec})
	p.mu.Unlock()
	p.note("START", "worker %s (%s) task %s attempt %d token %d spec %q", w.id, w.service, r.task, r.attempt, o.Token, shorten(o.Spec))
}

func (p *platform) ended(w *worker, r *run, how string) {
	p.mu.Lock()
	p.events = append(p.events, event{time.Now(), how, r.task, r.attempt, w.id, 0, ""})
	p.mu.Unlock()
	p.note("END", "worker %s task %s attempt %d %s", w.id, r.task, r.attempt, how)
}

// eventsOf returns what workers have seen of a job.
func (p *platform) eventsOf(job string) (list []event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.events {
		if strings.HasPrefix(e.task, job+".") {
			list = append(list, e)
		}
	}
	return list
}

// route is a queue of the operator's configuration.
type route struct{ name, prefix, service string }

const host = "pule25.example"

// configure writes a version of the operator's configuration.
func (p *platform) configure(version int, services []string, routes []route) {
	var rs, ss []string
	for _, r := range routes {
		rs = append(rs, fmt.Sprintf(`{"name":%q,"host":%q,"path-prefix":%q,"kind":"non_idempotent","timeout-ms":3000,"target-latency-ms":600,`+
			`"priority":0,"service":%q,"max-attempts":4,"stretch":1.6}`, r.name, host, r.prefix, r.service))
	}
	for _, s := range services {
		ss = append(ss, fmt.Sprintf(`{"name":%q,"preconditions":true}`, s))
	}
	p.store.set("op", "config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max-header-bytes":16384,"max-body-bytes":262144}}`,
		version, strings.Join(rs, ","), strings.Join(ss, ","))))
	p.note("CONFIG", "version %d acknowledged by the store: services %v, routes %v", version, services, routes)
}
