package main

import (
	"fmt"
	"time"
)

var queueC = route{name: "queue-c", host: "c.example", prefix: "/lasting/", service: "pool-a", advice: true}

// lostAllowedWorker: six jobs that last run at the one worker that their queue's policy
// allows. It is lost for good. Jobs of another queue are handed in afterwards.
func lostAllowedWorker(s *site, trouble bool) int {
	const workers = 7
	s.allowedOn = "m-00001"
	n := s.startSite(workers, 2, queueA, queueC)
	for i := range workers - 1 {
		if !s.submit(n[0], queueC, fmt.Sprintf("%016x", 0xe100+i), oneCore, 0, step{"count": 1, "cpu": 1000, "mem-mb": 256, "long-running": true}) {
			return failed
		}
	}
	for end := time.Now().Add(10 * time.Second); s.running() < workers-1; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			s.logf("the jobs that last don't run")
			return failed
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.lose(s.allowedOn)
	}
	time.Sleep(20 * time.Second)
	const last = "000000000000e2"
	first, second := last+"01", last+"02"
	for _, id := range []string{first, second} {
		if !s.submit(n[1], queueA, id, oneCore, 300*time.Millisecond, step{"count": 2, "cpu": 1000, "mem-mb": 256, "est-runtime-ms": 300}) {
			return failed
		}
	}
	accepted := time.Now()
	for time.Since(accepted) < 2*finishTime && (s.starts(first) == 0 || s.starts(second) == 0) {
		time.Sleep(50 * time.Millisecond)
	}
	s.state(n[0], queueA, first)
	s.state(n[0], queueA, second)
	s.logf("%.1f s after two jobs were accepted, %d and %d of their tasks have been started; %d tasks run at %d workers",
		time.Since(accepted).Seconds(), s.starts(first), s.starts(second), s.running(), len(s.machines))
	if time.Since(accepted) > finishTime {
		return broken
	}
	return held
}
