package endpoint

import (
	"fmt"
	"net"
	"slices"
	"time"
)

// setFaults applies new fault switches to one endpoint. Requests held by a freeze
// are processed when the freeze ends.
func (s *state) setFaults(h *host, f Faults) {
	now := time.Now()
	if f.Silence && !h.faults.Silence {
		h.silentUntil = now.UnixNano()
	}
	if !f.Silence {
		h.silentUntil = 0
	}
	if f.Down && !h.faults.Down {
		h.totals.CutOff += int64(h.busy)
		h.busy = 0
		h.generation++
	}
	h.faults, h.faultsSince = f, now
	if f.Freeze {
		return
	}
	held := h.held
	h.held = nil
	for _, b := range held {
		b.apply(s)
	}
}

// updateListeners opens and closes listeners as the faults require and sets the
// timer for the next RefuseAfter that expires.
func (s *state) updateListeners() {
	now := time.Now()
	next := time.Duration(0)
	for _, h := range s.hosts {
		refuse := h.faults.refusing(h.faultsSince, now)
		switch {
		case refuse && h.ln != nil:
			h.ln.Close()
			h.ln = nil
		case !refuse && h.ln == nil:
			h.listen()
		}
		if h.faults.Down {
			for c := range h.conns {
				c.Close()
			}
		}
		remaining := time.Duration(h.faults.RefuseAfter) - now.Sub(h.faultsSince)
		if !refuse && h.faults.Leaving && remaining > 0 && (next == 0 || remaining < next) {
			next = remaining
		}
	}
	if next > 0 {
		s.refuseTimer.Reset(next)
	}
}

func (h *host) listen() {
	ln, err := net.Listen("tcp", h.vm.Addr)
	if err != nil {
		h.totals.ListenError = err.Error()
		return
	}
	h.totals.ListenError = ""
	select {
	case h.listeners <- ln:
		h.ln = ln
	default: // the accept duty has not taken earlier listeners yet
		ln.Close()
		h.totals.ListenError = "listener not taken over"
	}
}

// changeFaults changes the fault switches of one endpoint or of all.
type changeFaults struct {
	vm     string // empty means all
	update func(Faults) (Faults, error)
	reply  chan error // capacity 1
}

func (c changeFaults) apply(s *state) {
	found := false
	for _, h := range s.hosts {
		if c.vm != "" && c.vm != h.vm.ID {
			continue
		}
		f, err := c.update(h.faults)
		if err != nil {
			c.reply <- err
			return
		}
		found = true
		s.setFaults(h, f)
	}
	s.updateListeners()
	if !found {
		c.reply <- fmt.Errorf("no endpoint %q", c.vm)
		return
	}
	c.reply <- nil
}

// readEffects requests a part of the effect log.
type readEffects struct {
	after, limit int
	reply        chan EffectPage // capacity 1
}

// EffectPage is the answer to GET /effects: a part of the effect log.
type EffectPage struct {
	Effects []Effect `json:"effects"`
	Next    int      `json:"next"`    // value of the parameter after for the next page
	Dropped int64    `json:"dropped"` // effects that were not logged because the log was full
}

func (r readEffects) apply(s *state) {
	from := min(max(r.after, 0), len(s.effects))
	to := len(s.effects)
	if r.limit > 0 {
		to = min(to, from+r.limit)
	}
	r.reply <- EffectPage{Effects: slices.Clone(s.effects[from:to]), Next: to, Dropped: s.dropped}
}

// readTotals requests the counts of all endpoints.
type readTotals struct{ reply chan []Totals }

func (r readTotals) apply(s *state) {
	out := make([]Totals, len(s.hosts))
	for i, h := range s.hosts {
		out[i] = h.totals
		out[i].VM, out[i].Busy, out[i].Held, out[i].Conns = h.vm.ID, h.busy, len(h.held), len(h.conns)
	}
	r.reply <- out
}
