package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// use returns the capacity that is in use and there is, and adds the jobs that run.
func (c *cloud) use(jobs map[string]bool) (used, capacity int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.w == nil {
			continue
		}
		m.w.mu.Lock()
		capacity += m.w.capacityCPU
		for _, r := range m.w.runs {
			used += r.cpu
			jobs[r.task[:strings.IndexByte(r.task, '.')]] = true
		}
		m.w.mu.Unlock()
	}
	return used, capacity
}
