package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"
)

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// machine is a machine of the platform.
type machine struct {
	id     string
	pool   string
	state  string // up, moving, upkeep
	worker *worker
	kept   map[int]bool // waves whose upkeep it has begun
}

// machineOrder is an order for a machine as the machine service has received it.
type machineOrder struct {
	at      time.Time
	path    string
	machine string
	pool    string
	wave    int
	holder  string
	token   uint64
	status  int
	reason  string
	already bool // the operation had been done before
}

// wave is an upkeep wave that the operator has requested.
type wave struct {
	machines map[string]bool
	most     int
}

// machineService serves the calls under "cloud" in the settings.
type machineService struct{ site *site }

func (m machineService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /machines":
		m.list(w)
	case "POST /machine-move", "POST /machine-upkeep":
		m.order(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m machineService) list(w http.ResponseWriter) {
	s := m.site
	s.mu.Lock()
	list := []map[string]any{}
	for _, v := range s.machines {
		entry := map[string]any{
			"machine": v.id, "pool": v.pool, "state": v.state, "zone": "z-a", "labels": []string{"a", "r1-1"},
			"capacity": size{workerCPU, workerMemory, 0},
		}
		if v.worker != nil {
			entry["id"] = v.worker.id
		}
		list = append(list, entry)
	}
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i]["machine"].(string) < list[j]["machine"].(string) })
	reply(w, http.StatusOK, map[string]any{"machines": list})
}

func (m machineService) order(w http.ResponseWriter, r *http.Request) {
	s := m.site
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := machineOrder{at: time.Now(), path: r.URL.Path, machine: body.Machine, pool: body.Pool, wave: body.Wave, holder: r.Header.Get("Lease-Holder")}
	o.token, _ = strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	s.mu.Lock()
	s.execute(&o)
	s.orders = append(s.orders, o)
	lose := o.status == http.StatusOK && !o.already && s.loseAnswer != nil && s.loseAnswer(o)
	s.mu.Unlock()
	s.record("machine service: %s machine %s pool %q wave %d from %s token %d: %d %s, done before: %t, answer lost: %t",
		o.path, o.machine, o.pool, o.wave, o.holder, o.token, o.status, o.reason, o.already, lose)
	if lose {
		panic(http.ErrAbortHandler) // resets the connection
	}
	if o.status == http.StatusBadRequest {
		w.WriteHeader(o.status)
		return
	}
	answer := map[string]any{}
	if o.reason != "" {
		answer["reason"] = o.reason
	}
	reply(w, o.status, answer)
}

// execute carries an order out. The site is locked.
func (s *site) execute(o *machineOrder) {
	v := s.machines[o.machine]
	wanted := s.waves[o.wave]
	switch {
	case v == nil:
		o.status = http.StatusBadRequest
	case o.path == "/machine-upkeep" && !wanted.machines[o.machine]:
		o.status, o.reason = http.StatusConflict, "wave"
	case o.path == "/machine-upkeep" && v.kept[o.wave], o.path == "/machine-move" && v.pool == o.pool:
		o.status, o.already = http.StatusOK, true
	case v.state != "up":
		o.status, o.reason = http.StatusConflict, "busy"
	default:
		o.status = http.StatusOK
		s.begin(v, o)
	}
}

// begin takes a machine out of its pool.
func (s *site) begin(v *machine, o *machineOrder) {
	away := moveTime
	v.state = "moving"
	if o.path == "/machine-upkeep" {
		away = upkeepTime
		v.state = "upkeep"
		v.kept[o.wave] = true
		down := 0
		for id := range s.waves[o.wave].machines {
			if s.machines[id].state == "upkeep" {
				down++
			}
		}
		s.mostDown = max(s.mostDown, down)
		s.logf("upkeep of machine %s begins, %d machines of wave %d are in upkeep now, at most %d are allowed", v.id, down, o.wave, s.waves[o.wave].most)
	} else {
		v.pool = o.pool
	}
	if old := v.worker; old != nil {
		v.worker = nil
		go old.die()
	}
	time.AfterFunc(away, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		v.state = "up"
		if !s.standby[v.pool] {
			v.worker = s.newWorker(v.id, v.pool)
		}
	})
}

// lose ends a machine for good.
func (s *site) lose(id string) {
	s.mu.Lock()
	v := s.machines[id]
	old := v.worker
	delete(s.machines, id)
	s.mu.Unlock()
	s.logf("machine %s is lost for good", id)
	old.die()
}
