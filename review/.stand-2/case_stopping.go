package main

import (
	"net/http"
	"sync"
	"time"
)

// stoppingRun: a job is cancelled, and its task is being stopped when the process that
// owns the pool is killed and starts again. Another job waits for the worker.
func stoppingRun(s *site, trouble bool) int {
	s.unguarded = true
	stopping := make(chan struct{})
	var once sync.Once
	n := s.startSite(1, 1, queueA)
	const large, waiting = "00000000000000e1", "00000000000000e2"
	if !s.submit(n[0], queueA, large, size{CPU: 12000, MemMB: 256}, 0, step{"count": 1, "cpu": 12000, "mem-mb": 256, "long-running": true}) {
		return failed
	}
	if !s.waitState(n[0], queueA, large, "running", 10*time.Second) {
		return failed
	}
	if !s.submit(n[0], queueA, waiting, size{CPU: 8000, MemMB: 256}, time.Second, step{"count": 1, "cpu": 8000, "mem-mb": 256, "est-runtime-ms": 1000}) {
		return failed
	}
	time.Sleep(2 * time.Second)
	s.onStop = func() { once.Do(func() { close(stopping) }) }
	status, text := call("DELETE", "http://"+n[0].front+queueA.prefix+large, queueA.host, nil)
	s.logf("client: DELETE %s%s at %s: %d %s", queueA.prefix, large, n[0].name, status, text)
	if status != http.StatusOK {
		return failed
	}
	select {
	case <-stopping:
	case <-time.After(5 * time.Second):
		return failed
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		n[0].kill()
		time.Sleep(100 * time.Millisecond)
		n[0].start()
	}
	if !s.waitState(n[0], queueA, waiting, "completed", 20*time.Second) {
		return failed
	}
	if s.overCapacity.Load() > 0 {
		return broken
	}
	return held
}
