package main

import (
	"fmt"
	"time"
)

func init() { cases["name"] = playName }

// playName: a change of the configuration adds a service with the name "fleet" and a
// route to it. The service has completed jobs before those of the case.
func playName(e *env) error {
	const (
		service = "bayar"
		prefix  = "/puxa400/"
		added   = "/tije37/"
	)
	name := "armada"
	if e.trouble {
		name = "fleet"
	}
	for i := range 4 {
		if err := e.addMachine(fmt.Sprintf("m-%d", i+1), service); err != nil {
			return err
		}
	}
	for i := range 4 {
		if err := e.addMachine(fmt.Sprintf("m-%d", i+5), name); err != nil {
			return err
		}
	}
	e.store.version, e.store.truncated = firstVersion, firstVersion
	e.configure(3, []string{service}, []route{{"r-1", prefix, service}})
	if err := e.startNodes(); err != nil {
		return err
	}
	if err := e.warmUp(prefix); err != nil {
		return err
	}
	e.configure(7, []string{service, name}, []route{{"r-1", prefix, service}, {"r-2", added, name}})
	time.Sleep(5 * time.Second) // config-apply-ms, and contact-ms more
	if err := e.addHistory(added, historyJobs(40_000)); err != nil {
		return err
	}
	time.Sleep(contactMs * time.Millisecond)
	jobs, err := e.submit(added, 30, time.Second)
	if err != nil {
		return err
	}
	return e.checkStarted(added, jobs, 10*time.Second)
}
