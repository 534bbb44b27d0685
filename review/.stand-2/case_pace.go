package main

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"time"
)

// Figures of the tasks in the case of an overtaken order on the pace. A serving task's
// tail is its own part, which depends on its users, and a part for each percent at which
// the filling task works.
const (
	targetMs       = 100
	quietTailMs    = 30
	busyTailMs     = 96
	tailPerPercent = 0.3
	riseTime       = 5 * time.Second // in which the own part rises from quiet to busy
	harmTime       = 4 * time.Second // harm-ms
	contactTime    = 3 * time.Second // contact-ms
	retransmission = 200 * time.Millisecond
)

// overtakenPace: the users of a serving task become more within some seconds, so that the
// filling task beside it is slowed down step by step. One packet to the worker is lost, and
// sent again after 200 ms. It carries an order on the pace, and a newer order on another
// connection overtakes it.
func overtakenPace(s *site, trouble bool) int {
	var rise atomic.Int64 // start of the rise in ms since the start of the case, 0: not yet
	own := func() int {
		if rise.Load() == 0 {
			return quietTailMs
		}
		part := float64(time.Since(s.begun).Milliseconds()-rise.Load()) / float64(riseTime.Milliseconds())
		return quietTailMs + int(min(1, part)*(busyTailMs-quietTailMs))
	}
	s.fillStep = 1
	s.tail = func(fillPace int) int { return own() + int(tailPerPercent*float64(fillPace)) }
	var lost atomic.Bool
	s.slowPacket = func(data []byte) time.Duration {
		if trouble && rise.Load() > 0 && bytes.HasPrefix(data, []byte("POST /pace")) && bytes.Contains(data, []byte(`"percent":25`)) && !lost.Swap(true) {
			s.logf("a packet to the worker is lost; it holds the order to work at 25 percent")
			return retransmission
		}
		return 0
	}
	n := s.startSite(1, 2, queueA)
	stop := s.startTraffic(n[0])
	defer stop()
	const id = "00000000000000d1"
	if !s.submit(n[0], queueA, id, oneCore, 0,
		step{"count": 1, "cpu": 1000, "mem-mb": 256, "long-running": true, "image": "serve", "target-ms": targetMs},
		step{"count": 1, "cpu": 1000, "mem-mb": 256, "long-running": true, "image": "fill", "fills": true}) {
		return failed
	}
	time.Sleep(3 * time.Second)
	if tail, pace := s.tailNow(); tail == 0 || pace == 0 {
		return failed
	}
	rise.Store(time.Since(s.begun).Milliseconds())
	s.logf("the users of the serving task become more: its own tail rises from %d to %d ms in %s", quietTailMs, busyTailMs, riseTime)
	time.Sleep(riseTime + contactTime)
	// From here on no disruption is near.
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
			s.logf("the serving task's tail is %d ms, its target %d ms, without the filling task at %d percent it would be %d ms", tail, targetMs, pace, own())
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

// startTraffic hands in small jobs, ten a second, until stop is called.
func (s *site) startTraffic(n *node) (stop func()) {
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(100 * time.Millisecond):
				s.submit(n, queueA, fmt.Sprintf("%016x", 0xf000+i), oneCore, 80*time.Millisecond,
					step{"count": 2, "cpu": 1000, "mem-mb": 256, "est-runtime-ms": 80})
			}
		}
	}()
	return func() { close(end); <-ended }
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
