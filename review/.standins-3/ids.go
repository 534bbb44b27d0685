package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

const idsHost = "jepu9.example"

// idsCase: the clients of three services number their jobs from 1. Those of each service
// cancel one of theirs, without the disruption none.
func idsCase(rec *recorder) (int, error) {
	d, err := newDeployment(rec, 2)
	if err != nil {
		return 2, err
	}
	defer d.stop()
	services := []string{"quotes", "permits", "surveys"}
	var routes []route
	for i, s := range services {
		routes = append(routes, route{Name: "r-" + s, Host: idsHost, Prefix: "/" + s + "/", Service: s})
		for k := range 3 {
			if _, err := d.cloud.add(fmt.Sprintf("m-%d%d", i+1, k+1), s); err != nil {
				return 2, err
			}
		}
	}
	var mu sync.Mutex
	done := map[string]int{} // by service and job
	for _, m := range d.cloud.machines {
		m.w.onEnd = func(w *worker, task string, attempt int, how string) {
			mu.Lock()
			defer mu.Unlock()
			rec.log("%s: %s run %d ends %s", w.service, task, attempt, how)
			if how == "done" {
				done[w.service+" "+task[:strings.IndexByte(task, '.')]]++
			}
		}
	}
	d.configure(routes, services...)
	if err := d.start(); err != nil {
		return 2, err
	}
	time.Sleep(3 * time.Second)
	const jobs = 5 // for each service; one of them, a fifth, is cancelled
	body, _ := json.Marshal(map[string]any{"spec": "run-ms=6000 cpu=1000", "steps": []map[string]any{
		{"count": 1, "cpu": 1000, "mem-mb": 256, "est-runtime-ms": 6000},
	}})
	id := func(n int) string { return fmt.Sprintf("%016x", n) }
	for _, s := range services {
		for n := 1; n <= jobs; n++ {
			ok, tries := d.submit(n, idsHost, "/"+s+"/"+id(n), body, time.Now().Add(5*time.Second))
			rec.log("POST /%s/%s: accepted %t after %d tries", s, id(n), ok, tries)
			if !ok {
				return 2, fmt.Errorf("a job was not accepted")
			}
		}
	}
	time.Sleep(2 * time.Second)
	for i, s := range services {
		if !d.trouble {
			break
		}
		status, _ := call(d.nodes[i%2], "DELETE", idsHost, "/"+s+"/"+id(i+1), nil)
		rec.log("DELETE /%s/%s: %d", s, id(i+1), status)
	}
	time.Sleep(14 * time.Second)
	lost := 0
	for i, s := range services {
		for n := 1; n <= jobs; n++ {
			status, state := call(d.nodes[n%2], "GET", idsHost, "/"+s+"/"+id(n), nil)
			mu.Lock()
			runs := done[s+" "+id(n)]
			mu.Unlock()
			rec.log("GET /%s/%s: %d %s; %d runs have ended done", s, id(n), status, state, runs)
			if d.trouble && n == i+1 {
				continue // its own client has cancelled it
			}
			if strings.Contains(state, "cancelled") || strings.Contains(state, "failed") || status == 410 {
				lost++
			}
		}
	}
	if lost > 0 {
		rec.log("LOST is broken: %d jobs that nobody cancelled are shown as cancelled", lost)
		return 1, nil
	}
	rec.log("LOST held")
	return 0, nil
}
