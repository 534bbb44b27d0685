package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// limitCase: two pools, each with a long-running job. A wave with max-count 1 names the
// machines on which the two tasks run. The answer of the first upkeep order is lost.
func limitCase(rec *recorder) (int, error) {
	d, err := newDeployment(rec, 2)
	if err != nil {
		return 2, err
	}
	defer d.stop()
	d.cloud.standby["spare"] = true
	services := []string{"quotes", "permits"}
	d.configure([]route{
		{Name: "r-quotes", Host: "pule25.example", Prefix: "/quotes/", Service: "quotes"},
		{Name: "r-permits", Host: "pule25.example", Prefix: "/permits/", Service: "permits"},
	}, "quotes", "permits", "spare")
	for i, s := range append(services, "spare") {
		for k := range 3 {
			if _, err := d.cloud.add(fmt.Sprintf("m-%d%d", i+1, k+1), s); err != nil {
				return 2, err
			}
		}
	}
	if err := d.start(); err != nil {
		return 2, err
	}
	time.Sleep(3 * time.Second)
	for i, s := range services {
		id := fmt.Sprintf("00000000000000%02x", i+1)
		body, _ := json.Marshal(map[string]any{"spec": "lasts cpu=2000", "steps": []map[string]any{
			{"count": 1, "cpu": 2000, "mem-mb": 256, "est-runtime-ms": 1000, "long-running": true, "may-miss": 1},
		}})
		ok, tries := d.submit(i, "pule25.example", "/"+s+"/"+id, body, time.Now().Add(5*time.Second))
		rec.log("job %s is handed in at %s: accepted %t after %d tries", id, s, ok, tries)
		if !ok {
			return 2, fmt.Errorf("job %s was not accepted", id)
		}
	}
	// The wave names the machine of each pool on which the task runs.
	var machines []string
	for until := time.Now().Add(10 * time.Second); len(machines) < len(services); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			return 2, fmt.Errorf("the long-running tasks don't run")
		}
		machines = d.cloud.busyMachines()
	}
	time.Sleep(2 * time.Second)
	machines = d.cloud.busyMachines()
	rec.log("the tasks run on %v", machines)
	if d.trouble {
		d.cloud.loseAnswer = func(n int) bool { return n == 1 }
	}
	w := wave{Wave: 1, Machines: machines, Duration: 20, Max: 1}
	rec.log("wave 1 is requested: %v in 20 s, one at a time", machines)
	d.cloud.request(w)
	for until := time.Now().Add(35 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if d.store.Value("status", "", "wave/1") == `{"state":"completed"}` {
			rec.log("wave 1 is completed")
			break
		}
	}
	time.Sleep(time.Second)
	d.cloud.mu.Lock()
	defer d.cloud.mu.Unlock()
	if d.cloud.upkeeps < len(machines) {
		return 2, fmt.Errorf("%d of %d upkeeps have begun", d.cloud.upkeeps, len(machines))
	}
	if len(d.cloud.broken) > 0 {
		rec.log("LIMIT is broken %d times", len(d.cloud.broken))
		return 1, nil
	}
	rec.log("LIMIT held")
	return 0, nil
}

// busyMachines returns the machines whose workers run something.
func (c *cloud) busyMachines() (ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.w == nil {
			continue
		}
		m.w.mu.Lock()
		if len(m.w.runs) > 0 {
			ids = append(ids, m.id)
		}
		m.w.mu.Unlock()
	}
	return ids
}
