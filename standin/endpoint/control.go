package endpoint

import (
	"fmt"
	"net"
	"slices"
	"time"
)

// setFaults puts new switches of one endpoint into force.
func (s *state) setFaults(h *host, f Faults) {
	now := time.Now()
	if f.Silence && !h.faults.Silence {
		h.silence = now.UnixNano()
	}
	if !f.Silence {
		h.silence = 0
	}
	if f.Down && !h.faults.Down {
		h.totals.CutOff += int64(h.busy)
		h.busy = 0
		h.life++
	}
	h.faults, h.since = f, now
	if f.Freeze {
		return
	}
	held := h.held
	h.held = nil
	for _, b := range held {
		b.apply(s)
	}
}

// reconcile opens and closes listeners as the faults demand and sets the
// timer for the next change.
func (s *state) reconcile() {
	now := time.Now()
	next := time.Duration(0)
	for _, h := range s.hosts {
		refuse := h.faults.refusing(h.since, now)
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
		left := time.Duration(h.faults.RefuseAfter) - now.Sub(h.since)
		if !refuse && h.faults.Leaving && left > 0 && (next == 0 || left < next) {
			next = left
		}
	}
	if next > 0 {
		s.wake.Reset(next)
	}
}

func (h *host) listen() {
	ln, err := net.Listen("tcp", h.vm.Addr)
	if err != nil {
		h.totals.Problem = err.Error()
		return
	}
	h.totals.Problem = ""
	select {
	case h.accept <- ln:
		h.ln = ln
	default: // the acceptor is still busy with earlier listeners
		ln.Close()
		h.totals.Problem = "listener not taken over"
	}
}

// change applies new switches to one endpoint, or to all.
type change struct {
	vm    string // empty means all
	merge func(Faults) (Faults, error)
	reply chan error // capacity 1
}

func (c change) apply(s *state) {
	found := false
	for _, h := range s.hosts {
		if c.vm != "" && c.vm != h.vm.ID {
			continue
		}
		f, err := c.merge(h.faults)
		if err != nil {
			c.reply <- err
			return
		}
		found = true
		s.setFaults(h, f)
	}
	s.reconcile()
	if !found {
		c.reply <- fmt.Errorf("no endpoint %q", c.vm)
		return
	}
	c.reply <- nil
}

// readEffects asks for a part of the log.
type readEffects struct {
	after, limit int
	reply        chan Log // capacity 1
}

// Log is the answer to GET /effects.
type Log struct {
	Effects []Effect `json:"effects"`
	Next    int      `json:"next"`    // value of after for the next part
	Dropped int64    `json:"dropped"` // effects beyond the bound of the log
}

func (r readEffects) apply(s *state) {
	from := min(max(r.after, 0), len(s.effects))
	to := len(s.effects)
	if r.limit > 0 {
		to = min(to, from+r.limit)
	}
	r.reply <- Log{Effects: slices.Clone(s.effects[from:to]), Next: to, Dropped: s.dropped}
}

// readTotals asks for the counts of all endpoints.
type readTotals struct{ reply chan []Totals }

func (r readTotals) apply(s *state) {
	out := make([]Totals, len(s.hosts))
	for i, h := range s.hosts {
		out[i] = h.totals
		out[i].VM, out[i].Busy, out[i].Held, out[i].Conns = h.vm.ID, h.busy, len(h.held), len(h.conns)
	}
	r.reply <- out
}
