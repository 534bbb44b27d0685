package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	hopelessHost   = "pule25.example"
	hopelessPrefix = "/checks/"
)

// hopelessCase: small jobs, and one that can never be done, without the disruption none.
func hopelessCase(rec *recorder) (int, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return 2, err
	}
	defer d.stop()
	d.configure([]route{{Name: "r-checks", Host: hopelessHost, Prefix: hopelessPrefix, Service: "checks"}}, "checks")
	var mu sync.Mutex
	done := map[string]int{} // by job
	d.cloud.prepare = func(w *worker) {
		w.onEnd = func(w *worker, task string, attempt int, how string) {
			mu.Lock()
			defer mu.Unlock()
			rec.log("%s run %d ends %s on %s", task, attempt, how, w.id)
			if how == "done" {
				done[task[:strings.IndexByte(task, '.')]]++
			}
		}
	}
	for k := range 4 {
		if _, err := d.cloud.add(fmt.Sprintf("m-%d", k+1), "checks"); err != nil {
			return 2, err
		}
	}
	if err := d.start(); err != nil {
		return 2, err
	}
	time.Sleep(3 * time.Second)
	body := func(spec string, count, cpu int) []byte {
		b, _ := json.Marshal(map[string]any{"spec": spec, "steps": []map[string]any{{"count": count, "cpu": cpu, "mem-mb": 64, "est-runtime-ms": 600}}})
		return b
	}
	var ids []string
	submit := func(n int, b []byte) error {
		id := newID()
		ok, tries := d.submit(n, hopelessHost, hopelessPrefix+id, b, time.Now().Add(4*time.Second))
		rec.log("job %s: accepted %t after %d tries", id, ok, tries)
		if !ok {
			return fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
		return nil
	}
	small := body("run-ms=600 cpu=1000", 2, 1000)
	// Of 32 jobs one can never be done. It has 24 tasks, as the widest of dealer-check.
	for n := range 31 {
		if n == 28 && d.trouble {
			rec.log("the next job can never be done")
			if err := submit(n, body("run-ms=600 cpu=2600 fails", 24, 2600)); err != nil {
				return 2, err
			}
			ids = ids[:len(ids)-1] // it is not asked for
			time.Sleep(time.Second)
		}
		if err := submit(n, small); err != nil {
			return 2, err
		}
		time.Sleep(250 * time.Millisecond)
	}
	rec.log("the traffic has ended")
	time.Sleep(11 * time.Second) // with the 3 s of the rule finish_s
	idle, seen := true, map[string]bool{}
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		used, capacity := d.cloud.use(seen)
		idle = idle && 2*used < capacity
	}
	lost := 0
	for n, id := range ids {
		status, state := call(d.nodes[n%3], "GET", hopelessHost, hopelessPrefix+id, nil)
		mu.Lock()
		runs := done[id]
		mu.Unlock()
		if runs < 2 && !seen[id] && idle {
			lost++
			rec.log("job %s: %d of 2 tasks are done; its state is answered %d %s", id, runs, status, state)
		}
	}
	if lost > 0 {
		rec.log("LOST is broken: %d of %d accepted jobs have tasks left and had nothing running for 3 s, with under half of the capacity in use", lost, len(ids))
		return 1, nil
	}
	rec.log("LOST held")
	return 0, nil
}
