package main

import (
	"bytes"
	"sync/atomic"
	"time"
)

// Figures of the tasks in the case of an overtaken order on the pace. A serving task's
// tail is its own part, which depends on its users, and a part for each percent at which
// the filling task works.
const (
	targetMs       = 100
	quietTailMs    = 60
	busyTailMs     = 92
	tailPerPercent = 0.3
	harmTime       = 4 * time.Second // harm-ms
	contactTime    = 3 * time.Second // contact-ms
	retransmission = 200 * time.Millisecond
)

// overtakenPace: one packet to a worker is lost, and sent again after 200 ms. It carries an
// order on the pace of a filling task, and newer orders on other connections overtake it.
// Some seconds later the users of the serving task beside it need more.
func overtakenPace(s *site, trouble bool) int {
	var own atomic.Int64
	own.Store(quietTailMs)
	s.fillStep = 1
	s.tail = func(fillPace int) int { return int(own.Load()) + int(tailPerPercent*float64(fillPace)) }
	var lost atomic.Bool
	s.slowPacket = func(data []byte) time.Duration {
		if trouble && bytes.HasPrefix(data, []byte("POST /pace")) && bytes.Contains(data, []byte(`"percent":50`)) && !lost.Swap(true) {
			s.logf("a packet to the worker is lost; it holds the order to work at 50 percent")
			return retransmission
		}
		return 0
	}
	n := s.startSite(1, 2, queueA)
	const id = "00000000000000d1"
	if !s.submit(n[0], queueA, id, oneCore, 0,
		step{"count": 1, "cpu": 1000, "mem-mb": 256, "long-running": true, "image": "serve", "target-ms": targetMs},
		step{"count": 1, "cpu": 1000, "mem-mb": 256, "long-running": true, "image": "fill", "fills": true}) {
		return failed
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if tail, pace := s.tailNow(); tail > 0 && pace < 100 {
			break
		}
		if time.Now().After(end) {
			s.logf("no order on the pace was given")
			return failed
		}
	}
	time.Sleep(contactTime + time.Second)
	// From here on no disruption is near.
	own.Store(busyTailMs)
	s.logf("the users of the serving task need more: its own tail is %d ms", busyTailMs)
	var over time.Time
	longest := time.Duration(0)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		tail, pace := s.tailNow()
		if tail <= targetMs || pace == 0 {
			over = time.Time{}
			continue
		}
		if over.IsZero() {
			over = time.Now()
			s.logf("the serving task's tail is %d ms, its target %d ms, without the filling task at %d percent it would be %d ms", tail, targetMs, pace, own.Load())
		}
		longest = max(longest, time.Since(over))
	}
	s.logf("longest time over the target beside a filling task that works, without a disruption near: %.1f s, harm-ms allows %.1f s", longest.Seconds(), harmTime.Seconds())
	if trouble && !lost.Load() {
		return failed
	}
	if longest > harmTime {
		return broken
	}
	return held
}

// tailNow returns the tail of the serving task and the pace of the filling one.
func (s *site) tailNow() (tail, pace int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.machines {
		if m.worker == nil {
			continue
		}
		m.worker.mu.Lock()
		for _, r := range m.worker.runs {
			if _, _, step, _ := jobOf(r.task); step != s.fillStep {
				tail = m.worker.load(r)
			}
		}
		pace += m.worker.fillPace()
		m.worker.mu.Unlock()
	}
	return tail, pace
}
