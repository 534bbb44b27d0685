package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["cancel"] = playCancel }

// playCancel: a client hands a job in at a node that stands still for 4 s, leaves after
// 0.9 s and cancels the job at another node.
func playCancel(e *env) error {
	const (
		freeze  = 4000 * time.Millisecond // node_freeze for_s of the site file
		leave   = 900 * time.Millisecond  // give_up x of the site file
		service = "bayar"
		prefix  = "/puxa400/"
	)
	for i := range 4 {
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
	// A node that does not own the pool, so that the one that starts tasks is in touch.
	var taker, other *node
	for _, n := range e.nodes {
		if n.holds(service) {
			continue
		}
		if taker == nil {
			taker = n
		} else if other == nil {
			other = n
		}
	}
	if taker == nil || other == nil {
		return fmt.Errorf("no two nodes without the pool's lease")
	}
	if e.trouble {
		taker.signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() { taker.signal(syscall.SIGCONT) })
	}
	began := time.Now()
	id, body := e.job(1, 40*time.Second)
	taker.request("POST", prefix+id, body, leave)
	time.Sleep(time.Until(began.Add(leave)))
	var acked answer
	if !eventually(4*time.Second, func() bool {
		acked = other.request("DELETE", prefix+id, "", 3*time.Second)
		return acked.status/100 == 2 || acked.status == 410
	}) {
		return fmt.Errorf("the cancel was not acknowledged")
	}
	// The rule's bounds, counted after the last disruption too: no task of the job runs
	// cancel_ms and kill-grace-ms after that.
	calm := acked.at
	if thaw := began.Add(freeze); e.trouble && thaw.After(calm) {
		calm = thaw.Add(contactMs * time.Millisecond)
	}
	limit := calm.Add((cancelMs + killGraceMs) * time.Millisecond)
	time.Sleep(time.Until(limit.Add(time.Second)))
	other.request("GET", prefix+id, "", 3*time.Second)
	var late time.Duration
	running := 0
	for _, ev := range e.eventsOf(id) {
		if ev.kind != "start" {
			running--
			continue
		}
		running++
		late = max(late, ev.at.Sub(acked.at))
	}
	e.note("CHECK", "last start %.3f s after the acknowledged cancel; %d tasks run %.3f s after it", late.Seconds(), running, time.Since(acked.at).Seconds())
	if late > cancelMs*time.Millisecond || running > 0 {
		return fmt.Errorf("UNASKED: %w: a task of the cancelled job was started %.3f s after the acknowledgement (%d) of its cancelling, %d still run at %.1f s",
			errBroken, late.Seconds(), acked.status, running, time.Since(acked.at).Seconds())
	}
	return nil
}
