package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["wave"] = playWave }

// playWave: workers are added, and their machines are due for upkeep at once. It happens
// three times, at random moments.
func playWave(e *env) error {
	const (
		service = "cotiza"
		prefix  = "/puxa400/"
		within  = 20 * time.Second
	)
	for i := range 11 {
		if err := e.addMachine(fmt.Sprintf("m-%d", i+1), service); err != nil {
			return err
		}
	}
	e.configure(3, []string{service}, []route{{"r-1", prefix, service}})
	if err := e.startNodes(); err != nil {
		return err
	}
	if err := e.warmUp(prefix); err != nil {
		return err
	}
	time.Sleep(contactMs * time.Millisecond)
	for wave := 1; wave <= 3; wave++ {
		time.Sleep(time.Duration(rand.Float64() * 4 * float64(time.Second)))
		machines := []string{fmt.Sprintf("m-%d", 2*wave-1), fmt.Sprintf("m-%d", 2*wave)}
		if e.trouble {
			machines = []string{fmt.Sprintf("m-new-%d", 2*wave-1), fmt.Sprintf("m-new-%d", 2*wave)}
			for _, m := range machines {
				if err := e.addMachine(m, service); err != nil {
					return err
				}
				e.note("ADDED", "machine %s, empty", m)
			}
			time.Sleep(200 * time.Millisecond)
		}
		e.requestWave(wave, machines, within, 1)
		eventually(within, func() bool { return e.waveState(wave) == "completed" })
		state := e.waveState(wave)
		begun := 0
		for _, m := range machines {
			begun += min(1, e.upkeeps(m))
		}
		e.note("CHECK", "wave %d: state %q, upkeep of %d of %d machines has begun", wave, state, begun, len(machines))
		if state == "completed" && begun < len(machines) {
			time.Sleep(within)
			for _, m := range machines {
				e.note("CHECK", "machine %s: %d upkeeps %s later", m, e.upkeeps(m), within)
			}
			return fmt.Errorf("MIXED: %w: wave %d is said to be completed, and the upkeep of %d of its %d machines, which stay, has not begun", errBroken, wave, len(machines)-begun, len(machines))
		}
	}
	return nil
}
