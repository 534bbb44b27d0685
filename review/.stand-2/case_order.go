package main

import (
	"net/http"
	"sync"
	"time"
)

// lateOrder: the node that owns the fleet is cut off from the store and the machine
// service while its first order of a wave is on its way. The order arrives when the cut
// heals, after another node has given orders for the same machine.
func lateOrder(s *site, trouble bool) int {
	n := s.startSite(4, 2, queueA)
	seen := make(chan string, 1)
	var once sync.Once
	for _, v := range n {
		v.fleetProxy.onRequest = func(data []byte) (cut bool) {
			if trouble && isOrder(data) {
				once.Do(func() { cut = true; seen <- v.name })
			}
			return cut
		}
	}
	cutAt := make(chan struct{})
	if trouble {
		go func() {
			name := <-seen
			for _, v := range n {
				if v.name == name {
					s.logf("%s is cut off", name)
					v.storeProxy.setCut(true)
					time.Sleep(8 * time.Second)
					s.logf("the cut of %s ends", name)
					v.storeProxy.setCut(false)
					v.fleetProxy.setCut(false)
				}
			}
			close(cutAt)
		}()
	}
	s.requestWave(1, 1, 28*time.Second, machineNames(3)...)
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if string(s.store.value("status", "wave/1")) == `{"state":"completed"}` {
			break
		}
	}
	if trouble {
		<-cutAt
	}
	time.Sleep(2 * time.Second)
	return s.checkOrders()
}

func isOrder(data []byte) bool {
	return len(data) > 13 && string(data[:13]) == "POST /machine"
}

// checkOrders checks the rule ONE where fences aren't checked: no order for a machine
// has a lower token than an earlier one.
func (s *site) checkOrders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := map[string]uint64{}
	verdict := held
	for _, o := range s.orders {
		if o.token < highest[o.machine] {
			s.logf("order for %s with token %d from %s after one with token %d", o.machine, o.token, o.holder, highest[o.machine])
			verdict = broken
		}
		highest[o.machine] = max(highest[o.machine], o.token)
	}
	if len(s.orders) == 0 || s.orders[0].status != http.StatusOK {
		return failed
	}
	return verdict
}
