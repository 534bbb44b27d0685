package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"
)

// failDelay is the time from the new owner's first hold until a task fails. The former
// owner's hold waits at the worker for up to 400 ms.
const failDelay = 15 * time.Millisecond

// ownerRounds is how often the two owners are tried in a run, until the rule is broken.
const ownerRounds = 3

// twoOwners: tasks that last run at one worker. The node that owns the pool is cut off from
// the store, and one other worker has lost the path to the node that takes the pool over.
// One task fails by its own fault shortly after the takeover.
func twoOwners(s *site, trouble bool) int {
	const id, tasks = "00000000000000a1", 8
	var cutFrom atomic.Uint64 // least token of the node that doesn't reach the worker; 0: no cut
	var failed1 atomic.Bool   // a task has failed in this round
	var full, cut atomic.Value
	full.Store("") // machine of the worker with the most runs
	cut.Store("")  // machine of the worker that loses a path
	s.lostPacket = func(machine string, data []byte) bool {
		from := cutFrom.Load()
		return from > 0 && machine == cut.Load() && tokenOf(data) >= from
	}
	s.onHold = func(w *worker, token uint64) {
		if from := cutFrom.Load(); from > 0 && token >= from && w.machine == full.Load() && !failed1.Swap(true) {
			w.failOne(failDelay)
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
	for range ownerRounds {
		time.Sleep(4*time.Second + time.Duration(rand.Int64N(int64(time.Second))))
		byRuns := s.machinesByRuns()
		full.Store(byRuns[0])
		cut.Store(byRuns[1])
		failed1.Store(false)
		if !trouble {
			s.mu.Lock()
			s.machines[byRuns[0]].worker.failOne(failDelay)
			s.mu.Unlock()
			time.Sleep(13 * time.Second)
			continue
		}
		holder, token := s.poolOwner("pool-a")
		s.logf("%s, which owns the pool with token %d, is cut off from the store; the node that takes over and the worker of %s lose their path", holder, token, byRuns[1])
		cutFrom.Store(token + 1)
		for _, v := range n {
			v.storeProxy.setCut(v.name == holder)
		}
		time.Sleep(5 * time.Second)
		for _, v := range n {
			v.storeProxy.setCut(false)
		}
		cutFrom.Store(0)
		s.logf("both cuts end")
		time.Sleep(8 * time.Second)
		if s.twice.Load() > 0 {
			break
		}
	}
	s.logf("starts of a task that ran at another worker: %d", s.twice.Load())
	if s.starts(id) < tasks+1 {
		return failed
	}
	if s.twice.Load() > 0 {
		return broken
	}
	return held
}

// machinesByRuns returns the machines, those whose workers have the most runs first, and
// those with equally many by the workers' ids.
func (s *site) machinesByRuns() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*worker
	runs := map[*worker]int{}
	for _, m := range s.machines {
		m.worker.mu.Lock()
		runs[m.worker] = len(m.worker.runs)
		m.worker.mu.Unlock()
		list = append(list, m.worker)
	}
	slices.SortFunc(list, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(runs[b], runs[a]), cmp.Compare(a.id, b.id))
	})
	var ids []string
	for _, w := range list {
		ids = append(ids, w.machine)
	}
	return ids
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
