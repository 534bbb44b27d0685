// Package holder manages a process's part in the lease of a pool or of the fleet.
// It decides when to claim the lease and when to renew it, and resolves writes
// whose outcome is unknown. A Holder makes no calls; the duty that uses it executes
// its writes with Commit.
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
	// leaseDuration is the time without a renewal after which other processes may
	// claim a lease. It is many times the usual response time of the store, 10 ms.
	leaseDuration = 1000 * time.Millisecond
	// slowLeaseDuration replaces leaseDuration while the store is slow.
	slowLeaseDuration = 3 * time.Second
	// slowWriteThreshold is the duration of a write above which the store counts as
	// slow: leaseDuration would leave time for too few retries.
	slowWriteThreshold = 150 * time.Millisecond
	// renewInterval leaves time for two more attempts before the lease ends.
	renewInterval = leaseDuration / 3
	// maxClaimJitter is the maximum random delay of claims, which keeps processes
	// from claiming a lease at the same moment.
	maxClaimJitter = 150 * time.Millisecond
	// initialClaimDelay delays the claim of a lease whose row does not exist, so that
	// all processes have seen the configuration before the first claim.
	initialClaimDelay = 500 * time.Millisecond
	// claimRetryDelay is the delay before the next claim after a claim failed or the
	// lease was given up.
	claimRetryDelay = 300 * time.Millisecond
	// minWriteRetryDelay is the delay before the next write after one failed. It
	// doubles with each failure, up to maxWriteRetryDelay.
	minWriteRetryDelay = 50 * time.Millisecond
	maxWriteRetryDelay = 400 * time.Millisecond
	// writeTimeout is the timeout of a write to a store that is not known to be slow.
	// If two answers in a row are lost, it leaves time for a third write before
	// another process may claim the lease.
	writeTimeout = 300 * time.Millisecond
	// slowWriteTimeout is the timeout of a write to a store that is slow or has not
	// answered the last two. After a later answer, too little of the lease would
	// remain.
	slowWriteTimeout = 900 * time.Millisecond
)

// State says whether this process holds the lease.
type State int

// States.
const (
	Idle State = iota
	Claiming
	Held
)

// Holder is this process's part in one lease. It is not safe for concurrent use.
type Holder struct {
	Name          string
	Control       rows.Control // as last written by this process
	FormerControl rows.Control // content of the row before this process claimed the lease
	TakenVersion  uint64       // version of the row that the claim wrote
	TakenAt       time.Time
	State         State

	self         string
	cpuShare     float64 // share of a core that this VM has
	log          hclog.Logger
	claimJitter  time.Duration
	absentSince  time.Time // when the row was first found not to exist; zero: not yet
	nextClaim    time.Time // earliest time of the next claim
	lease        lease.Held
	version      uint64    // of the lease row
	orderVersion uint64    // version of the row that orders the holder's transactions
	writing      bool      // a write is in progress
	lastWrite    time.Time // when the last write was started
	lastRenewal  time.Time // when the last renewal was started
	nextRetry    time.Time // earliest time of the next write after one failed
	slow         bool      // the last answer took longer than slowWriteThreshold, or several are missing
	unanswered   int       // number of writes without an answer since the last answer
	failures     int       // number of failed writes since the last that succeeded
	claimToken   uint64    // token of the last claim
	claimSent    time.Time // when the first claim with that token was sent
	renewal      uint64    // number of the last renewal that was sent
	renewalSent  time.Time // when the first write with that number was sent
}

// New returns a Holder that does not hold the lease. cpuShare is the share of a
// core that this VM has.
func New(name, self string, cpuShare float64, log hclog.Logger) *Holder {
	return &Holder{Name: name, self: self, cpuShare: cpuShare, log: log, claimJitter: rand.N(maxClaimJitter)}
}

// weakVMDelay scales the additional delay of claims by VMs with less CPU time than
// the strongest known holder's VM, so that strong VMs get the leases. A VM with 1/n
// of the CPU time of the strongest waits n-1 times as long.
const weakVMDelay = 250 * time.Millisecond

// weakVMClaimDelay returns the additional delay of claims by this VM. If there is no
// lease row yet, this VM is compared with one that has a whole core.
func (h *Holder) weakVMClaimDelay(v *board.View) time.Duration {
	strongest := h.cpuShare
	if len(v.Leases) == 0 {
		strongest = max(strongest, 1)
	}
	for _, l := range v.Leases {
		strongest = max(strongest, l.Share)
	}
	if h.cpuShare <= 0 {
		return 0
	}
	return time.Duration(float64(weakVMDelay) * (strongest/h.cpuShare - 1))
}

// Write is a transaction of the holder. It writes the lease row, or only checks
// that the row is unchanged, and includes the operations in ExtraOps.
type Write struct {
	Control   rows.Control // content of the lease row
	ExtraOps  []store.Op
	ops       []store.Op // on the lease row and the row that orders transactions
	requested time.Time  // time shortly before the write was sent
	timeout   time.Duration
	claim     bool // the write claims the lease
	renews    bool // the write changes the lease row
}

// Result is the outcome of a Write.
type Result struct {
	write        Write
	version      uint64 // of the lease row, if the write renews
	orderVersion uint64
	err          error
}

// Event says what a Result means.
type Event int

// Events.
const (
	Ignored     Event = iota // the write belongs to an earlier term of the lease
	Acquired                 // the claim succeeded
	ClaimFailed              // the claim failed
	Stored                   // the write took effect
	NotStored                // the write failed, or it is unknown whether it took effect
	Released                 // the write took effect and released the lease
	Lost                     // another process holds the lease
)

// nextDuration returns the lease duration for the next claim or renewal.
func (h *Holder) nextDuration() time.Duration {
	if h.slow {
		return slowLeaseDuration
	}
	return leaseDuration
}

// nextTimeout returns the timeout of the next write.
func (h *Holder) nextTimeout() time.Duration {
	if h.slow {
		return slowWriteTimeout
	}
	return writeTimeout
}

// Valid reports whether the lease is held at now, a time of package steady.
func (h *Holder) Valid(now time.Time) bool { return h.State == Held && h.lease.Valid(now) }

// ValidUntil returns the time until which the lease is held unless it is renewed, or
// the zero time if it is not held.
func (h *Holder) ValidUntil() time.Time {
	if h.State != Held {
		return time.Time{}
	}
	return h.lease.Until()
}

// ValidWithin reports whether the lease is held at now, or ended less than overrun
// ago and no other process is known to have taken it.
func (h *Holder) ValidWithin(now time.Time, overrun time.Duration) bool {
	return h.State == Held && now.Before(h.lease.Until().Add(overrun))
}

// FormerTerm returns a time that the former holder held the lease for at least. It
// follows from the number of its renewals.
func (h *Holder) FormerTerm() time.Duration {
	if h.FormerControl.Renewal == 0 {
		return 0
	}
	return time.Duration(h.FormerControl.Renewal-1) * renewInterval // the first may follow the claim at once
}

// Version returns the version of the lease row as last written by this process.
func (h *Holder) Version() uint64 { return h.version }

// Writing reports whether a write is in progress.
func (h *Holder) Writing() bool { return h.writing }

// Drop gives the lease up without a write to the store.
func (h *Holder) Drop(now time.Time) {
	h.State, h.lease = Idle, lease.Held{}
	h.nextClaim = now.Add(claimRetryDelay)
}

// Observe compares the lease row in the view with the state of this process. It
// gives the lease up if another process has taken it, and reports whether it did.
func (h *Holder) Observe(now time.Time, v *board.View) bool {
	row, ok := v.Leases[h.Name]
	if !ok || h.State != Held || row.Version <= h.version || row.Holder == h.self && row.Token == h.Control.Token {
		return false
	}
	h.log.Warn("lease has another holder", "lease", h.Name, "token", h.Control.Token, "holder", row.Holder, "their_token", row.Token)
	h.Drop(now)
	return true
}

// ClaimDue reports whether the lease should be claimed now. The claim is delayed
// by delay, a random time, and the delay of weak VMs.
func (h *Holder) ClaimDue(now time.Time, v *board.View, delay time.Duration) bool {
	if h.State != Idle || h.writing || v == nil || v.LeasesReadAt.IsZero() || now.Before(h.nextClaim) {
		return false
	}
	weakDelay := h.weakVMClaimDelay(v)
	delay += h.claimJitter + weakDelay
	row, ok := v.Leases[h.Name]
	if !ok {
		if h.absentSince.IsZero() {
			h.absentSince = now
		}
		return now.Sub(h.absentSince) >= initialClaimDelay+delay
	}
	// The row may have changed after the last read, so only the time until that
	// read counts.
	unchanged := v.LeasesReadAt.Sub(row.Since)
	switch row.Holder {
	case "":
		return unchanged >= delay
	case h.self:
		// The holder is an earlier process of this name, which has ended, or this
		// process, which has given the lease up. A weak VM waits nevertheless, so
		// that a stronger one can take the lease.
		if weakDelay == 0 {
			return true
		}
	}
	return unchanged >= row.Duration+delay
}

// Claim returns the write that takes the lease. It fails if the row has been
// written since the view was read.
func (h *Holder) Claim(now time.Time, v *board.View) Write {
	row, exists := v.Leases[h.Name]
	w := Write{Control: row.Control, requested: now, timeout: h.nextTimeout(), claim: true, renews: true}
	if h.unanswered > 0 {
		w.timeout = slowWriteTimeout // no lease of this process ends meanwhile
	}
	w.Control.Share = h.cpuShare
	w.Control.SetLease(lease.Takeover(row.Record(), h.self, h.nextDuration()))
	if h.claimToken != w.Control.Token {
		h.claimToken, h.claimSent = w.Control.Token, now
	}
	op := store.Op{Kind: store.OpInsert, Key: store.KeyControl(h.Name)}
	if exists {
		op.Kind, op.Expect = store.OpUpdate, row.Version
	}
	w.ops = []store.Op{op, h.orderOp(store.OpPut)}
	h.State, h.writing, h.FormerControl = Claiming, true, row.Control
	h.log.Info("claiming lease", "lease", h.Name, "token", w.Control.Token, "from", row.Holder, "version", row.Version)
	return w
}

// RenewAt returns when the lease row is to be written. If the row has new content,
// interval is the minimum time between the last write and this one; 0 means that it
// has none, so that only the renewal counts.
func (h *Holder) RenewAt(interval time.Duration) time.Time {
	at := h.lastRenewal.Add(renewInterval)
	if interval > 0 {
		at = times.Earlier(at, h.lastWrite.Add(interval))
	}
	return times.Later(at, h.nextRetry)
}

// AppendAt returns the earliest time of the next write that does not renew, at
// least interval after the last write.
func (h *Holder) AppendAt(interval time.Duration) time.Time {
	return times.Later(h.lastWrite.Add(interval), h.nextRetry)
}

// Renew returns the write that stores c and renews the lease or, with release,
// releases it. A lease that is being released is not valid any more.
func (h *Holder) Renew(now time.Time, c rows.Control, release bool) Write {
	c.SetLease(h.Control.Record().Renewed(h.nextDuration()))
	if release {
		// Another process may claim the lease as soon as the store has executed the
		// write, even if its answer is lost.
		c.Holder, h.lease = "", lease.Held{}
	}
	h.writing, h.lastWrite, h.lastRenewal = true, now, now
	if h.renewal != c.Record().Renewal {
		h.renewal, h.renewalSent = c.Record().Renewal, now
	}
	order := h.orderOp(store.OpUpdate)
	order.Expect = h.orderVersion
	return Write{
		Control: c, requested: now, timeout: h.nextTimeout(), renews: true,
		ops: []store.Op{{Kind: store.OpUpdate, Key: store.KeyControl(h.Name), Expect: h.version}, order},
	}
}

// Append returns a write that executes ops if this process still holds the lease.
// It does not renew the lease.
func (h *Holder) Append(now time.Time, ops []store.Op) Write {
	h.writing, h.lastWrite = true, now
	order := h.orderOp(store.OpUpdate)
	order.Expect = h.orderVersion
	return Write{
		Control: h.Control, ExtraOps: ops, requested: now, timeout: h.nextTimeout(),
		ops: []store.Op{{Kind: store.OpCheck, Key: store.KeyControl(h.Name), Expect: h.version}, order},
	}
}

// orderOp returns the operation on the row that orders the holder's transactions.
// Each of them writes that row, and all but the claim require its last known
// version, so that a write which the store executes late fails. The version of the
// lease row is not enough, because Append does not change it.
func (h *Holder) orderOp(kind store.OpKind) store.Op {
	return store.Op{Kind: kind, Key: store.KeyOrder(h.Name), Value: []byte("{}")}
}

// Failed returns the result of a write that ended with err.
func Failed(w Write, err error) Result { return Result{write: w, err: err} }

// Commit executes a write. It may run on any goroutine.
func Commit(ctx context.Context, t store.Table, w Write) Result {
	r := Result{write: w}
	if w.renews {
		if w.ops[0].Value, r.err = rows.EncodeControl(w.Control); r.err != nil {
			return r
		}
	}
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	versions, err := t.Commit(ctx, append(w.ops, w.ExtraOps...))
	if err != nil {
		r.err = err
		return r
	}
	r.version, r.orderVersion = versions[0], versions[1]
	return r
}

// HandleResult handles the result of a write.
func (h *Holder) HandleResult(now time.Time, r Result) Event {
	h.writing = false
	h.recordAnswer(now, r)
	if h.State == Idle {
		return Ignored
	}
	if r.write.claim {
		return h.handleClaimResult(now, r)
	}
	if h.Control.Token != r.write.Control.Token {
		return Ignored
	}
	if r.err == nil {
		if h.failures > 0 {
			h.log.Info("writes of the lease holder succeed again", "lease", h.Name, "failed", h.failures)
		}
		h.failures, h.nextRetry, h.orderVersion = 0, time.Time{}, r.orderVersion
		if !r.write.renews {
			return Stored
		}
		h.Control, h.version, h.renewalSent = r.write.Control, r.version, r.write.requested
		h.lease = lease.Acquired(r.write.Control.Record(), r.write.requested)
		if r.write.Control.Holder == "" {
			h.log.Info("lease is released", "lease", h.Name)
			h.Drop(now)
			return Released
		}
		return Stored
	}
	if current := h.readConflict(r.err, h.Control.Token); current.own {
		// An earlier write whose outcome was unknown took effect.
		h.Control, h.version, h.orderVersion, h.nextRetry = current.control, current.version, current.orderVersion, time.Time{}
		if record := current.control.Record(); record.Renewal == h.renewal {
			h.lease = lease.Acquired(record, h.renewalSent)
		}
		if r.write.renews {
			h.lastRenewal = time.Time{} // this renewal did not take effect
		}
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
	h.nextRetry = now.Add(min(maxWriteRetryDelay, minWriteRetryDelay<<min(h.failures, 4)))
	h.failures++
	return NotStored
}

// recordAnswer records whether the store answers, and how fast. A single missing
// answer does not mean that the store is slow.
func (h *Holder) recordAnswer(now time.Time, r Result) {
	if errors.Is(r.err, store.ErrUnknown) {
		h.unanswered++
		h.slow = h.slow || h.unanswered > 1
		return
	}
	h.unanswered, h.slow = 0, now.Sub(r.write.requested) > slowWriteThreshold
}

func (h *Holder) handleClaimResult(now time.Time, r Result) Event {
	if r.err != nil {
		current := h.readConflict(r.err, r.write.Control.Token)
		if !current.own {
			h.log.Info("lease was not claimed", "lease", h.Name, "error", r.err)
			h.Drop(now)
			return ClaimFailed
		}
		r.write.requested = h.claimSent // an earlier claim with this token took effect
		r.write.Control, r.version, r.orderVersion = current.control, current.version, current.orderVersion
	}
	h.log.Info("lease is held", "lease", h.Name, "token", r.write.Control.Token, "version", r.version)
	h.State, h.Control, h.version, h.TakenVersion, h.TakenAt = Held, r.write.Control, r.version, r.version, now
	h.lastWrite, h.lastRenewal, h.nextRetry, h.orderVersion = now, now, time.Time{}, r.orderVersion
	if r.err != nil {
		h.lastRenewal = time.Time{} // much of the lease has passed
	}
	h.renewal, h.renewalSent = r.write.Control.Record().Renewal, r.write.requested
	h.lease = lease.Acquired(r.write.Control.Record(), r.write.requested)
	return Acquired
}

// conflictRows is the state of the holder's rows as returned with a conflict.
type conflictRows struct {
	control      rows.Control
	version      uint64
	orderVersion uint64
	own          bool // this process wrote the lease row with its current token
}

// readConflict extracts the holder's rows from a conflict error. token is the
// current token of this process.
func (h *Holder) readConflict(err error, token uint64) conflictRows {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return conflictRows{}
	}
	f := conflictRows{orderVersion: h.orderVersion}
	for _, r := range conflict.Rows {
		switch r.Key {
		case store.KeyOrder(h.Name):
			f.orderVersion = r.Version
		case store.KeyControl(h.Name):
			c, err := rows.DecodeControl(r.Value)
			if err != nil {
				h.log.Warn("can't decode lease row", "lease", h.Name, "error", err)
				return conflictRows{}
			}
			f.control, f.version, f.own = c, r.Version, c.Holder == h.self && c.Token == token
		}
	}
	return f
}
