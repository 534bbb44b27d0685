package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	growthHost   = "pule25.example"
	growthPrefix = "/tallies/"
	// The store takes 600 writing calls a second. A job takes one to be handed in, and
	// the system writes its progress in batches.
	growthRate = 540
	growthTime = 62 * time.Second
)

// growthCase: clients hand in many short jobs, all of which are done. Then the process
// that holds the pool is killed. Memory is limited as on the users' machines.
func growthCase(rec *recorder) (int, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return 2, err
	}
	defer d.stop()
	for _, n := range d.nodes {
		n.memoryMB = 284
	}
	d.configure([]route{{Name: "r-tallies", Host: growthHost, Prefix: growthPrefix, Service: "tallies"}}, "tallies")
	var mu sync.Mutex
	runsOf := map[string]int{} // by job: runs that have ended done
	d.cloud.prepare = func(w *worker) {
		w.onEnd = func(_ *worker, task string, _ int, how string) {
			if how == "done" {
				mu.Lock()
				runsOf[task[:strings.IndexByte(task, '.')]]++
				mu.Unlock()
			}
		}
	}
	for k := range 8 {
		if _, err := d.cloud.add(fmt.Sprintf("m-%d", k+1), "tallies"); err != nil {
			return 2, err
		}
	}
	if err := d.start(); err != nil {
		return 2, err
	}
	time.Sleep(3 * time.Second)

	text := strings.Repeat("x", 3900)
	body := func(spec string) []byte {
		b, _ := json.Marshal(map[string]any{"spec": spec, "steps": []map[string]any{{"count": 1, "cpu": 100, "mem-mb": 16, "est-runtime-ms": 20}}})
		return b
	}
	// Phase 1: jobs with specs of just under 4,000 bytes.
	var accepted, refused atomic.Int64
	var group sync.WaitGroup
	tick := time.NewTicker(time.Second / growthRate)
	began := time.Now()
	first := body("run-ms=20 cpu=100 " + text)
	for n := 0; time.Since(began) < growthTime; n++ {
		<-tick.C
		group.Add(1)
		go func() {
			defer group.Done()
			if ok, _ := d.submit(n, growthHost, growthPrefix+newID(), first, time.Now().Add(4*time.Second)); ok {
				accepted.Add(1)
			} else {
				refused.Add(1)
			}
		}()
	}
	tick.Stop()
	group.Wait()
	mu.Lock()
	done := len(runsOf)
	mu.Unlock()
	rec.log("phase 1: %d jobs accepted, %d not, %d have run", accepted.Load(), refused.Load(), done)
	time.Sleep(3 * time.Second)
	mu.Lock()
	done = len(runsOf)
	mu.Unlock()
	for _, n := range d.nodes {
		rec.log("%s held at most %d MB", n.name, n.peakMB)
		if n.overruns > 0 {
			rec.log("%s went over its memory before the disruption", n.name)
		}
	}
	d.store.mu.Lock()
	rec.log("%d jobs have run; the store had at most %d writing calls a second and refused %d", done, d.store.writes.peak, d.store.writes.refused)
	d.store.mu.Unlock()

	// Phase 2: one process is killed, and small jobs come.
	if d.trouble {
		victim := d.holderOf("tallies")
		rec.log("the process that last wrote under a condition is killed")
		_ = victim.cmd.Process.Kill()
	}
	small := body("run-ms=20 cpu=100")
	var ids []string
	began = time.Now()
	for n := 0; time.Since(began) < 12*time.Second; n++ {
		id := newID()
		ok, tries := d.submit(n, growthHost, growthPrefix+id, small, time.Now().Add(2*time.Second))
		rec.log("job %s: accepted %t after %d tries", id, ok, tries)
		if ok {
			ids = append(ids, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	rec.log("the traffic has ended")
	time.Sleep(14*time.Second - 3*time.Second) // finish_s, with the 3 s of the rule
	idle, seen := true, map[string]bool{}
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		used, capacity := d.cloud.use(seen)
		idle = idle && 2*used < capacity
	}
	lost := 0
	for n, id := range ids {
		status, state := 0, ""
		for try := 0; try < 3 && status != 200; try++ {
			status, state = call(d.nodes[(n+try)%len(d.nodes)], "GET", growthHost, growthPrefix+id, nil)
		}
		mu.Lock()
		runs := runsOf[id]
		mu.Unlock()
		rec.log("job %s: %d runs are done; its state is answered %d %s", id, runs, status, state)
		if runs == 0 && !seen[id] && idle {
			lost++
		}
	}
	overruns, often := 0, 0
	for _, n := range d.nodes {
		n.mu.Lock()
		if n.overruns >= 3 {
			often++
		}
		rec.log("%s held at most %d MB, was killed %d times for its memory, ended %d times by itself", n.name, n.peakMB, n.overruns, n.ownEnds)
		overruns += n.overruns
		n.mu.Unlock()
	}
	rec.log("processes were killed %d times for their memory, on %d machines three times or more", overruns, often)
	if lost > 0 {
		rec.log("LOST is broken: 14 s after the end of the traffic, %d of %d accepted jobs have not run and had nothing running for 3 s, with under half of the capacity in use", lost, len(ids))
		return 1, nil
	}
	rec.log("LOST held: all %d jobs have run", len(ids))
	return 0, nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// use returns the capacity that is in use and there is, and adds the jobs that run.
func (c *cloud) use(jobs map[string]bool) (used, capacity int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.w == nil {
			continue
		}
		m.w.mu.Lock()
		capacity += m.w.capacityCPU
		for _, r := range m.w.runs {
			used += r.cpu
			jobs[r.task[:strings.IndexByte(r.task, '.')]] = true
		}
		m.w.mu.Unlock()
	}
	return used, capacity
}
