// Package holder keeps a lease row of the platform's store: it decides when to
// claim it, renews it, and settles writes without an answer. It makes no calls
// itself; the duty that uses it carries its writes out.
package holder

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/internal/times"
	"github.com/carobwharf/carobwharf/lease"
	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
)

// Timing of leases.
const (
	// leaseTime is how long a lease is left alone when its holder is silent.
	// It is many times the regular answer of the store, which takes 10 ms.
	leaseTime = 1000 * time.Millisecond
	// slowLeaseTime replaces leaseTime while the store is slow.
	slowLeaseTime = 3 * time.Second
	// slowAnswer is an answer that leaves too few tries within leaseTime.
	slowAnswer = 150 * time.Millisecond
	// renewEvery leaves two more tries before the lease ends.
	renewEvery = leaseTime / 3
	// claimSpread keeps processes from claiming one lease at the same moment.
	claimSpread = 150 * time.Millisecond
	// firstWait is how long a row that does not exist is left alone, so that all
	// processes have seen the configuration before the first claims it.
	firstWait = 500 * time.Millisecond
	// claimRetry spaces claims after one that failed.
	claimRetry = 300 * time.Millisecond
	// writeRetry spaces renewals after one that failed; the time doubles up to
	// writeRetryMost.
	writeRetry     = 100 * time.Millisecond
	writeRetryMost = 400 * time.Millisecond
	// storeTimeout bounds a write. A later answer would leave too little of the
	// lease.
	storeTimeout = 900 * time.Millisecond
)

// State is how far this process holds the lease.
type State int

// States.
const (
	Idle State = iota
	Claiming
	Held
)

// Holder is this process's part in one lease. It is used from one goroutine.
type Holder struct {
	Name    string
	Control rows.Control // as last written by this process
	Former  rows.Control // as found when the lease was taken
	Taken   uint64       // version of the row with which it was taken
	TakenAt time.Time
	State   State

	self     string
	share    float64 // part of a core that this VM has
	log      hclog.Logger
	jitter   time.Duration
	absent   time.Time // since when the row is known not to exist
	retryAt  time.Time // of a claim that failed
	lease    lease.Held
	version  uint64 // of the lease row
	order    uint64 // version of the row that orders the transactions of the holder
	writing  bool
	last     time.Time // sending of the last write
	renewed  time.Time // sending of the last renewal
	nextTry  time.Time // after a write that failed
	slow     bool      // the last write took longer than slowAnswer
	failures int       // writes that failed since the last that did not
}

// New returns a holder of nothing. share is the part of a core that this VM
// has.
func New(name, self string, share float64, log hclog.Logger) *Holder {
	return &Holder{Name: name, self: self, share: share, log: log, jitter: rand.N(claimSpread)}
}

// weakness is how much longer a VM waits with a claim for each time that the
// strongest known holder's VM has its processor time, so that leases go to
// strong VMs.
const weakness = 250 * time.Millisecond

// handicap returns how much longer this VM waits with a claim. Before there is
// any holder it is compared with a VM that has a whole core.
func (h *Holder) handicap(v *board.View) time.Duration {
	strongest := h.share
	if len(v.Leases) == 0 {
		strongest = max(strongest, 1)
	}
	for _, l := range v.Leases {
		strongest = max(strongest, l.Share)
	}
	if h.share <= 0 {
		return 0
	}
	return time.Duration(float64(weakness) * (strongest/h.share - 1))
}

// Write is a transaction of the holder. It changes the lease row, or leaves it
// as it is and only stores more.
type Write struct {
	Control   rows.Control
	More      []store.Op
	ops       []store.Op
	requested time.Time
	claim     bool
	renews    bool
}

// Result is the outcome of a Write.
type Result struct {
	write   Write
	version uint64 // of the lease row, if the write renews
	order   uint64
	err     error
}

// Event says what a Result means.
type Event int

// Events.
const (
	None      Event = iota
	Acquired        // the lease was claimed
	NotWon          // it was not
	Stored          // the write took effect
	NotStored       // the write failed, or it is not known whether it took effect
	Released        // the write took effect and gave the lease up
	Lost            // another process has the lease
)

func (h *Holder) duration() time.Duration {
	if h.slow {
		return slowLeaseTime
	}
	return leaseTime
}

// Valid reports whether the lease is held at now, a steady time.
func (h *Holder) Valid(now time.Time) bool { return h.State == Held && h.lease.Valid(now) }

// ValidWithin reports whether the lease is held at now, or ended less than
// beyond ago and, as far as is known, nobody has taken it since.
func (h *Holder) ValidWithin(now time.Time, beyond time.Duration) bool {
	return h.State == Held && now.Before(h.lease.Until().Add(beyond))
}

// Version returns the version of the row as last written by this process.
func (h *Holder) Version() uint64 { return h.version }

// Writing reports whether a write is under way.
func (h *Holder) Writing() bool { return h.writing }

// Drop gives the lease up without a trace in the store.
func (h *Holder) Drop(now time.Time) {
	h.State, h.lease = Idle, lease.Held{}
	h.retryAt = now.Add(claimRetry)
}

// Observe compares the row with what this process believes. It reports whether
// the lease was lost to another process.
func (h *Holder) Observe(now time.Time, v *board.View) bool {
	seen, ok := v.Leases[h.Name]
	if !ok || h.State != Held || seen.Version <= h.version || seen.Holder == h.self && seen.Token == h.Control.Token {
		return false
	}
	h.log.Warn("lease has another holder", "lease", h.Name, "token", h.Control.Token, "holder", seen.Holder, "their_token", seen.Token)
	h.Drop(now)
	return true
}

// ClaimDue reports whether the lease should be claimed. wait is added to its
// duration.
func (h *Holder) ClaimDue(now time.Time, v *board.View, wait time.Duration) bool {
	if h.State != Idle || h.writing || v == nil || v.LeasesRead.IsZero() || now.Before(h.retryAt) {
		return false
	}
	handicap := h.handicap(v)
	wait += h.jitter + handicap
	seen, ok := v.Leases[h.Name]
	if !ok {
		if h.absent.IsZero() {
			h.absent = now
		}
		return now.Sub(h.absent) >= firstWait+wait
	}
	// Silence counts only up to the last reading of the rows.
	silent := v.LeasesRead.Sub(seen.Since)
	switch seen.Holder {
	case "":
		return silent >= wait
	case h.self:
		// An earlier process of this name, which has ended, or this one, which
		// has given the lease up. A weak VM leaves it to a stronger one.
		if handicap == 0 {
			return true
		}
	}
	return silent >= seen.Duration+wait
}

// Claim returns the write that takes the lease, if nobody has written the row
// since it was seen.
func (h *Holder) Claim(now time.Time, v *board.View) Write {
	seen, exists := v.Leases[h.Name]
	w := Write{Control: seen.Control, requested: now, claim: true, renews: true}
	w.Control.Share = h.share
	w.Control.SetLease(lease.Next(seen.Record(), h.self, h.duration()))
	op := store.Op{Kind: store.OpInsert, Key: store.KeyControl(h.Name)}
	if exists {
		op.Kind, op.Expect = store.OpUpdate, seen.Version
	}
	w.ops = []store.Op{op, h.orderOp(store.OpPut)}
	h.State, h.writing, h.Former = Claiming, true, seen.Control
	h.log.Info("claiming lease", "lease", h.Name, "token", w.Control.Token, "from", seen.Holder, "version", seen.Version)
	return w
}

// RenewAt returns when the lease row is to be written. within is how soon
// after the last write there is something new for it; 0 if there is nothing.
func (h *Holder) RenewAt(within time.Duration) time.Time {
	at := h.renewed.Add(renewEvery)
	if within > 0 {
		at = times.Earlier(at, h.last.Add(within))
	}
	return times.Later(at, h.nextTry)
}

// AppendAt returns when the next write that does not renew may be sent, within
// after the last write.
func (h *Holder) AppendAt(within time.Duration) time.Time {
	return times.Later(h.last.Add(within), h.nextTry)
}

// Renew returns the write that renews the lease with the row's new content,
// or gives it up.
func (h *Holder) Renew(now time.Time, c rows.Control, release bool) Write {
	c.SetLease(h.Control.Record().Renewed(h.duration()))
	if release {
		c.Holder = ""
	}
	h.writing, h.last, h.renewed = true, now, now
	return Write{
		Control: c, requested: now, renews: true,
		ops: []store.Op{
			{Kind: store.OpUpdate, Key: store.KeyControl(h.Name), Expect: h.version},
			h.orderOp(store.OpPut),
		},
	}
}

// Append returns a write that stores more and leaves the lease row as it is.
func (h *Holder) Append(now time.Time, more []store.Op) Write {
	h.writing, h.last = true, now
	order := h.orderOp(store.OpUpdate)
	order.Expect = h.order
	return Write{
		Control: h.Control, More: more, requested: now,
		ops: []store.Op{{Kind: store.OpCheck, Key: store.KeyControl(h.Name), Expect: h.version}, order},
	}
}

func (h *Holder) orderOp(kind store.OpKind) store.Op {
	return store.Op{Kind: kind, Key: store.KeyOrder(h.Name), Value: []byte("{}")}
}

// Commit carries a write out. It may run on any goroutine.
func Commit(ctx context.Context, t store.Table, w Write) Result {
	r := Result{write: w}
	if w.renews {
		if w.ops[0].Value, r.err = rows.EncodeControl(w.Control); r.err != nil {
			return r
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	versions, err := t.Commit(ctx, append(w.ops, w.More...))
	if err != nil {
		r.err = err
		return r
	}
	r.version, r.order = versions[0], versions[1]
	return r
}

// Take takes the result of a write in.
func (h *Holder) Take(now time.Time, r Result) Event {
	h.writing = false
	h.slow = now.Sub(r.write.requested) > slowAnswer
	if h.State == Idle {
		return None
	}
	if r.write.claim {
		return h.takeClaim(now, r)
	}
	if h.Control.Token != r.write.Control.Token {
		return None
	}
	if r.err == nil {
		if h.failures > 0 {
			h.log.Info("lease is renewed again", "lease", h.Name, "failed", h.failures)
		}
		h.failures, h.nextTry, h.order = 0, time.Time{}, r.order
		if !r.write.renews {
			return Stored
		}
		h.Control, h.version = r.write.Control, r.version
		h.lease = lease.Acquired(r.write.Control.Record(), r.write.requested)
		if r.write.Control.Holder == "" {
			h.log.Info("lease is released", "lease", h.Name)
			h.Drop(now)
			return Released
		}
		return Stored
	}
	if found := h.own(r.err, h.Control.Token); found.mine {
		// An earlier write without an answer took effect.
		h.Control, h.version, h.order, h.nextTry = found.control, found.version, found.order, time.Time{}
		return NotStored
	}
	var conflict *store.ConflictError
	if errors.As(r.err, &conflict) {
		h.log.Warn("lease has another holder", "lease", h.Name, "token", h.Control.Token)
		h.Drop(now)
		return Lost
	}
	if h.failures == 0 {
		h.log.Warn("lease can't be renewed", "lease", h.Name, "error", r.err)
	}
	h.nextTry = now.Add(min(writeRetryMost, writeRetry<<min(h.failures, 4)))
	h.failures++
	return NotStored
}

func (h *Holder) takeClaim(now time.Time, r Result) Event {
	if r.err != nil {
		found := h.own(r.err, r.write.Control.Token)
		if !found.mine {
			h.log.Info("lease was not claimed", "lease", h.Name, "error", r.err)
			h.Drop(now)
			return NotWon
		}
		r.write.Control, r.version, r.order = found.control, found.version, found.order
	}
	h.log.Info("lease is held", "lease", h.Name, "token", r.write.Control.Token, "version", r.version)
	h.State, h.Control, h.version, h.Taken, h.TakenAt = Held, r.write.Control, r.version, r.version, now
	h.last, h.renewed, h.nextTry, h.order = now, now, time.Time{}, r.order
	h.lease = lease.Acquired(r.write.Control.Record(), r.write.requested)
	return Acquired
}

// found is what a conflict says of the holder's rows.
type found struct {
	control rows.Control
	version uint64
	order   uint64
	mine    bool // this process wrote the lease row in its present term
}

// own reads the rows of a conflict.
func (h *Holder) own(err error, token uint64) found {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return found{}
	}
	f := found{order: h.order}
	for _, r := range conflict.Rows {
		switch r.Key {
		case store.KeyOrder(h.Name):
			f.order = r.Version
		case store.KeyControl(h.Name):
			c, err := rows.DecodeControl(r.Value)
			if err != nil {
				h.log.Warn("lease row can't be read", "lease", h.Name, "error", err)
				return found{}
			}
			f.control, f.version, f.mine = c, r.Version, c.Holder == h.self && c.Token == token
		}
	}
	return f
}
