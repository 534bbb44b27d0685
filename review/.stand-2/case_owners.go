package main

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// failDelay is the time from the new owner's first hold until a task fails. The former
// owner's hold waits at the worker for up to 400 ms.
const failDelay = 15 * time.Millisecond

// twoOwners: tasks that last run at one worker. The node that owns the pool is cut off from
// the store, and one other worker has lost the path to the node that takes the pool over.
// One task fails by its own fault shortly after the takeover.
func twoOwners(s *site, trouble bool) int {
	const id, tasks = "00000000000000a1", 8
	var cutFrom atomic.Uint64 // least token of the node that doesn't reach the worker; 0: no cut
	var idle atomic.Value     // machine of the worker without runs
	idle.Store("")
	s.lostPacket = func(machine string, data []byte) bool {
		from := cutFrom.Load()
		return from > 0 && machine == idle.Load() && tokenOf(data) >= from
	}
	var once sync.Once
	s.onHold = func(w *worker, token uint64) {
		if from := cutFrom.Load(); from > 0 && token >= from && len(w.runs) > 0 {
			once.Do(func() { w.failOne(failDelay) })
		}
	}
	n := s.startSite(5, 4, queueA)
	if !s.submit(n[0], queueA, id, oneCore, 0, step{"count": tasks, "cpu": 1000, "mem-mb": 64, "long-running": true}) {
		return failed
	}
	for end := time.Now().Add(10 * time.Second); s.starts(id) < tasks; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return failed
		}
	}
	time.Sleep(4*time.Second + time.Duration(rand.Int64N(int64(time.Second))))
	idle.Store(s.idleMachine())
	holder, token := s.poolOwner("pool-a")
	if trouble {
		cutFrom.Store(token + 1)
		for _, v := range n {
			if v.name == holder {
				v.storeProxy.setCut(true)
			}
		}
		s.logf("%s, which owns the pool with token %d, is cut off from the store; the other node and the worker of %s lose their path", holder, token, idle.Load())
	} else {
		s.mu.Lock()
		for _, m := range s.machines {
			m.worker.failOne(failDelay) // one of them has runs
		}
		s.mu.Unlock()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for _, v := range n {
			v.storeProxy.setCut(false)
		}
		cutFrom.Store(0)
		s.logf("both cuts end")
	}
	time.Sleep(8 * time.Second)
	s.logf("starts of a task that ran at another worker: %d", s.twice.Load())
	if s.starts(id) < tasks+1 {
		return failed
	}
	if s.twice.Load() > 0 {
		return broken
	}
	return held
}

// idleMachine returns the machine of the first worker without runs, by the workers' ids.
func (s *site) idleMachine() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first *worker
	for _, m := range s.machines {
		m.worker.mu.Lock()
		n := len(m.worker.runs)
		m.worker.mu.Unlock()
		if n == 0 && (first == nil || m.worker.id < first.id) {
			first = m.worker
		}
	}
	if first == nil {
		panic("all workers have runs")
	}
	return first.machine
}

// tokenOf returns the fencing token in a request to a worker, 0 if there is none.
func tokenOf(data []byte) uint64 {
	_, rest, ok := bytes.Cut(data, []byte(`"fence-token":`))
	if !ok {
		return 0
	}
	end := bytes.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
	if end < 0 {
		end = len(rest)
	}
	token, _ := strconv.ParseUint(string(rest[:end]), 10, 64)
	return token
}

// poolOwner returns the holder of a pool's lease and its token.
func (s *site) poolOwner(pool string) (holder string, token uint64) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	var lease struct {
		Holder string
		Token  uint64
	}
	if err := json.Unmarshal(s.store.rows[rowKey{"control", pool, "lease"}].Value, &lease); err != nil {
		panic(err)
	}
	return lease.Holder, lease.Token
}
