package main

import "time"

// removedRoute: while tasks of one queue take the whole pool, a job of another queue is
// accepted and waits. The operator removes its route, and all nodes lose power right
// after the acknowledgement of that configuration and start again.
func removedRoute(s *site, trouble bool) int {
	n := s.startSite(2, 2, queueA, queueB)
	const busy, id = "00000000000000c0", "00000000000000c1"
	if !s.submit(n[0], queueA, busy, size{CPU: 16000, MemMB: 256}, 4*time.Second, step{"count": 2, "cpu": 16000, "mem-mb": 256, "est-runtime-ms": 4000}) {
		return failed
	}
	for end := time.Now().Add(5 * time.Second); s.starts(busy) < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return failed
		}
	}
	time.Sleep(time.Second)
	if !s.submit(n[0], queueB, id, oneCore, 500*time.Millisecond, step{"count": 2, "cpu": 1000, "mem-mb": 256, "est-runtime-ms": 500}) {
		return failed
	}
	s.configure(services, queueA)
	if trouble {
		for _, v := range n {
			v.kill()
		}
		time.Sleep(1200 * time.Millisecond)
		for _, v := range n {
			v.start()
		}
	}
	if !s.waitState(n[1], queueA, busy, "completed", 30*time.Second) {
		s.logf("the job that took the pool isn't completed")
		return failed
	}
	free := time.Now()
	s.logf("the pool is free")
	for end := free.Add(20 * time.Second); time.Now().Before(end) && s.starts(id) < 2; time.Sleep(100 * time.Millisecond) {
	}
	s.logf("%.1f s later, %d of 2 tasks of the accepted job %s have been started", time.Since(free).Seconds(), s.starts(id), id)
	const after = "00000000000000c2"
	if !s.submit(n[1], queueA, after, oneCore, 200*time.Millisecond, step{"count": 1, "cpu": 1000, "mem-mb": 256, "est-runtime-ms": 200}) ||
		!s.waitState(n[1], queueA, after, "completed", 10*time.Second) {
		s.logf("a new job of the other route doesn't run either")
		return failed
	}
	if s.starts(id) < 2 {
		return broken
	}
	return held
}
