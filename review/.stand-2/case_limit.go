package main

import "time"

// lostUpkeepAnswer: a wave with max-count 1 over three machines, each of which runs a
// task of 3 s. The connection of the first upkeep's call is reset after the machine
// service has carried the call out.
func lostUpkeepAnswer(s *site, trouble bool) int {
	n := s.startSite(4, 2, queueA)
	if !s.submit(n[0], queueA, "00000000000000b1", oneCore, 3*time.Second,
		step{"count": 4, "cpu": 1000, "mem-mb": 256, "est-runtime-ms": 3000, "anti-affinity": 1}) {
		return failed
	}
	for end := time.Now().Add(5 * time.Second); s.starts("00000000000000b1") < 4; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return failed
		}
	}
	lost := false
	s.mu.Lock()
	s.loseAnswer = func(o machineOrder) bool {
		lose := trouble && !lost && o.wave == 1
		lost = lost || lose
		return lose
	}
	s.mu.Unlock()
	s.requestWave(1, 1, 10*time.Second, machineNames(3)...)
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if string(s.store.value("status", "wave/1")) == `{"state":"completed"}` {
			break
		}
	}
	s.logf("status of the wave: %s", s.store.value("status", "wave/1"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logf("most machines of the wave in upkeep at once: %d, allowed: 1", s.mostDown)
	if s.mostDown == 0 || trouble && !lost {
		return failed
	}
	if s.mostDown > 1 {
		return broken
	}
	return held
}
