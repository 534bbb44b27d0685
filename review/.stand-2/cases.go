package main

import (
	"fmt"
	"net/http"
	"time"
)

var (
	oneCore  = size{CPU: 1000, MemMB: 256}
	queueA   = route{name: "queue-a", host: "a.example", prefix: "/checks/", service: "pool-a"}
	queueB   = route{name: "queue-b", host: "b.example", prefix: "/batch/", service: "pool-a"}
	services = []string{"pool-a", "spare"}
)

// startSite starts the given number of workers in one pool and of nodes, and waits
// until a job has run.
func (s *site) startSite(workers, nodes int, routes ...route) []*node {
	s.standby["spare"] = true
	s.configure(services, routes...)
	for i := range workers {
		s.addMachine(fmt.Sprintf("m-%05d", i+1), "pool-a")
	}
	var list []*node
	for i := range nodes {
		list = append(list, s.addNode(fmt.Sprintf("front-z-a-%d", i+1)))
	}
	for _, n := range list {
		if !n.waitReady(10 * time.Second) {
			panic("node " + n.name + " isn't ready")
		}
	}
	if !s.submit(list[0], queueA, "00000000000000aa", oneCore, 200*time.Millisecond, step{"count": 1, "cpu": 1000, "mem-mb": 256, "est-runtime-ms": 200}) {
		panic("the first job isn't accepted")
	}
	if !s.waitState(list[0], queueA, "00000000000000aa", "completed", 10*time.Second) {
		panic("the first job isn't run")
	}
	return list
}

func (s *site) waitState(n *node, r route, id, state string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if status, text := s.state(n, r, id); status == http.StatusOK && text == `{"state":"`+state+`"}` {
			return true
		}
	}
	return false
}

func machineNames(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("m-%05d", i+1))
	}
	return ids
}
