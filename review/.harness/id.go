package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["id"] = playID }

// playID: clients of two queues of one service choose the same id, for example the number
// of the application that both jobs are about.
func playID(e *env) error {
	const (
		service = "kencana"
		checks  = "/puxa400/"
		audits  = "/tije37/"
	)
	for i := range 9 {
		if err := e.addMachine(fmt.Sprintf("m-%d", i+1), service); err != nil {
			return err
		}
	}
	e.configure(3, []string{service}, []route{{"r-1", checks, service}, {"r-2", audits, service}})
	if err := e.startNodes(); err != nil {
		return err
	}
	if err := e.warmUp(checks); err != nil {
		return err
	}
	if err := e.warmUp(audits); err != nil {
		return err
	}
	time.Sleep(contactMs * time.Millisecond)
	job := func(spec string, tasks int) string {
		return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"mem-mb":256,"est-runtime-ms":500}]}`, spec, tasks)
	}
	info := taskInfo{length: 500 * time.Millisecond, cpu: 1000, mem: 256}
	first, second := newID(), newID()
	if e.trouble {
		second = first
	}
	e.mu.Lock()
	e.tasks[first], e.tasks[second] = info, info
	e.mu.Unlock()
	if e.nodes[0].request("POST", checks+first, job("check", 2), 3*time.Second).status != 200 {
		return fmt.Errorf("the job of the first queue was not accepted")
	}
	if !eventually(10*time.Second, func() bool {
		return strings.Contains(e.nodes[0].request("GET", checks+first, "", 3*time.Second).body, "completed")
	}) {
		return fmt.Errorf("the job of the first queue was not completed")
	}
	before := e.nodes[1].request("GET", audits+second, "", 3*time.Second)
	accepted := e.nodes[1].request("POST", audits+second, job("audit", 4), 3*time.Second)
	const watch = 20 * time.Second
	started := func() (n int) {
		for _, ev := range e.eventsOf(second) {
			if ev.kind == "start" && ev.spec == "audit" {
				n++
			}
		}
		return n
	}
	if accepted.status == 200 {
		eventually(watch, func() bool { return started() == 4 })
	}
	after := e.nodes[2].request("GET", audits+second, "", 3*time.Second)
	e.note("CHECK", "second queue: GET before the job was submitted: %d; POST: %d; %d of 4 tasks started %.1f s after it; GET then: %d %s",
		before.status, accepted.status, started(), time.Since(accepted.at).Seconds(), after.status, after.body)
	var broken []string
	if accepted.status == 200 && started() == 0 {
		broken = append(broken, fmt.Sprintf("LOST: an accepted job had nothing running for %s with all workers idle", watch))
	}
	if before.status == 200 {
		broken = append(broken, "MIXED: a job that nobody had submitted was shown: "+before.body)
	}
	if len(broken) > 0 {
		return fmt.Errorf("%w: %s", errBroken, strings.Join(broken, "; "))
	}
	return nil
}
