package main

import (
	"fmt"
	"time"
)

const (
	finishTime  = 14 * time.Second // finish_s
	maxIdleTime = 3 * time.Second  // of the rule LOST
)

// hopelessJob: one of twenty jobs can never be done. The last job of the traffic is handed
// in after it.
func hopelessJob(s *site, trouble bool) int {
	const hopeless, last = "00000000000000f1", "00000000000000f2"
	s.hopeless = map[string]bool{hopeless: trouble}
	n := s.startSite(3, 2, queueA)
	small := func(i int) bool {
		return s.submit(n[i%2], queueA, fmt.Sprintf("%016x", 0xf100+i), oneCore, 300*time.Millisecond,
			step{"count": 3, "cpu": 1000, "mem-mb": 256, "est-runtime-ms": 300})
	}
	for i := range 10 {
		if !small(i) {
			return failed
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !s.submit(n[0], queueA, hopeless, size{CPU: 2000, MemMB: 256}, 300*time.Millisecond,
		step{"count": 24, "cpu": 2000, "mem-mb": 256, "est-runtime-ms": 300}) {
		return failed
	}
	for i := 10; i < 18; i++ {
		if !small(i) {
			return failed
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !s.submit(n[1], queueA, last, oneCore, 300*time.Millisecond, step{"count": 2, "cpu": 1000, "mem-mb": 256, "est-runtime-ms": 300}) {
		return failed
	}
	accepted := time.Now()
	var idle time.Time
	longest := time.Duration(0)
	for time.Since(accepted) < finishTime {
		time.Sleep(50 * time.Millisecond)
		if s.starts(last) > 0 || s.running() > 0 {
			idle = time.Time{}
			continue
		}
		if idle.IsZero() {
			idle = time.Now()
		}
		longest = max(longest, time.Since(idle))
	}
	s.state(n[0], queueA, hopeless)
	s.state(n[0], queueA, last)
	s.logf("longest time in which the accepted job %s had nothing running, and nothing ran at any of the three workers: %.1f s", last, longest.Seconds())
	if longest > maxIdleTime {
		return broken
	}
	return held
}

// running returns the number of runs at all workers.
func (s *site) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, m := range s.machines {
		if m.worker != nil {
			m.worker.mu.Lock()
			count += len(m.worker.runs)
			m.worker.mu.Unlock()
		}
	}
	return count
}
