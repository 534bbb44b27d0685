package journal

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/store"
)

// Next returns the tasks to start now.
func (m *Machine) Next(now time.Time) []*Task {
	m.requeueDelayed(now)
	if m.platformDown {
		m.rejectClaims()
	}
	var tasks []*Task
	for m.activeTasks < m.opts.Workers && !m.circuitOpen(now) {
		t := m.nextTask(now)
		if t == nil {
			break
		}
		m.activeTasks++
		tasks = append(tasks, t)
	}
	return tasks
}

// circuitOpen reports whether the circuit breaker allows no call now. While the
// platform is down, one call at a time probes it after each backoff.
func (m *Machine) circuitOpen(now time.Time) bool {
	return m.platformDown && (now.Before(m.probeAt) || m.activeTasks > 0)
}

// rejectClaims ends the waiting claims while the platform is down. If no call is
// in progress and no operation waits for its retry, the first waiting operation
// is kept as the probe, even if it is a claim.
func (m *Machine) rejectClaims() {
	hasProbe := m.activeTasks > 0 || len(m.delayed) > 0
	reject := func(o *op) bool {
		if o.Kind != Claim || !hasProbe {
			hasProbe = true
			return false
		}
		m.end(o, Reply{Status: Unavailable, RecordMayExist: o.recordMayExist})
		return true
	}
	m.reads = slices.DeleteFunc(m.reads, reject)
	m.writes = slices.DeleteFunc(m.writes, reject)
}

// requeueDelayed queues the operations whose backoff has ended.
func (m *Machine) requeueDelayed(now time.Time) {
	kept := m.delayed[:0]
	for _, o := range m.delayed {
		if now.Before(o.retryAt) {
			kept = append(kept, o)
			continue
		}
		m.enqueue(o)
	}
	clear(m.delayed[len(kept):])
	m.delayed = kept
}

func (m *Machine) nextTask(now time.Time) *Task {
	switch {
	case len(m.gets) > 0:
		o := pop(&m.gets)
		return &Task{Kind: GetObject, Object: o.record.Answer.Object, ops: []*op{o}}
	case len(m.reads) > 0:
		return m.readTask()
	case len(m.puts) > 0 && m.writePacer.Ready(now):
		m.writePacer.Take(now)
		o := pop(&m.puts)
		sum := sha256.Sum256(o.record.Answer.Body)
		name := store.ObjectPrefixAnswer + hex.EncodeToString(sum[:])
		return &Task{Kind: PutObject, Object: name, Data: o.record.Answer.Body, ops: []*op{o}}
	}
	return m.commitTask(now)
}

func pop(list *[]*op) *op {
	o := (*list)[0]
	(*list)[0] = nil
	*list = (*list)[1:]
	return o
}

func (m *Machine) readTask() *Task {
	n := min(len(m.reads), m.opts.Batch)
	t := &Task{Kind: ReadRows, ops: slices.Clone(m.reads[:n])}
	m.reads = slices.Delete(m.reads, 0, n)
	for _, o := range t.ops {
		if !slices.Contains(t.Keys, o.key) {
			t.Keys = append(t.Keys, o.key)
		}
	}
	return t
}

// commitTask batches waiting writes into a transaction, once there are
// Options.Batch of them or the first has waited for Options.Linger. A
// transaction has at most one write for each key, and at most one expected
// version for each VM.
func (m *Machine) commitTask(now time.Time) *Task {
	m.expireClaims(now)
	if !m.mayCommit() {
		return nil
	}
	if !m.writePacer.Ready(now) {
		return nil
	}
	// While the platform is down, the probe is sent without waiting for more rows.
	if !m.platformDown && len(m.writes) < m.opts.Batch && now.Sub(m.writes[0].addedAt) < m.opts.Linger {
		return nil
	}
	t := &Task{Kind: CommitRows}
	keys := map[string]bool{}
	checks := map[string]uint64{}
	var checkOps []store.Op
	remaining := m.writes[:0]
	for _, o := range m.writes {
		version, checked := checks[o.VM]
		conflict := keys[o.key] || (o.Kind == Claim && checked && version != o.VMVersion)
		if len(t.ops) >= m.opts.Batch || conflict {
			remaining = append(remaining, o)
			continue
		}
		write, err := o.encode()
		if err != nil {
			m.end(o, Reply{Status: Dropped})
			continue
		}
		keys[o.key] = true
		t.ops, t.Ops = append(t.ops, o), append(t.Ops, write)
		if o.Kind == Claim && !checked {
			checks[o.VM] = o.VMVersion
			checkOps = append(checkOps, store.Op{Kind: store.OpCheck, Key: store.KeyVM(o.VM), Expect: o.VMVersion})
		}
	}
	clear(m.writes[len(remaining):])
	m.writes = remaining
	// The checks follow the rows, so that Result.Versions[i] belongs to t.ops[i].
	t.Ops = append(t.Ops, checkOps...)
	m.writePacer.Take(now)
	m.activeCommits++
	m.counters.Commits++
	m.counters.Rows += int64(len(t.ops))
	return t
}

// expireClaims ends the waiting claims whose deadline has passed.
func (m *Machine) expireClaims(now time.Time) {
	m.writes = slices.DeleteFunc(m.writes, func(o *op) bool {
		expired := o.Kind == Claim && !now.Before(o.Deadline)
		if expired {
			m.end(o, Reply{Status: Unavailable, RecordMayExist: o.recordMayExist})
		}
		return expired
	})
}

func (m *Machine) handleCommit(now time.Time, r Result) {
	var conflict *store.ConflictError
	switch {
	case r.Err == nil:
		for i, o := range r.Task.ops {
			m.completeWrite(o, r.Versions[i])
		}
	case errors.As(r.Err, &conflict):
		m.counters.Conflicts++
		m.handleConflict(r.Task, conflict.Keys)
	case errors.Is(r.Err, store.ErrThrottled):
		m.writes = append(slices.Clone(r.Task.ops), m.writes...)
	case errors.Is(r.Err, store.ErrUnavailable):
		for _, o := range r.Task.ops {
			m.handleFailure(now, o)
		}
	default:
		// After any other error, like after store.ErrUnknown, the transaction
		// may have been applied. Reading the rows shows whether it was.
		m.counters.Unknown++
		for _, o := range r.Task.ops {
			o.recordMayExist = true
			m.reads = append(m.reads, o)
		}
	}
}

func (m *Machine) completeWrite(o *op, version uint64) {
	if o.Kind == Claim {
		m.end(o, Reply{Status: Granted, Version: version})
		return
	}
	m.end(o, Reply{Status: Done})
}

// handleConflict queues the conflicting rows for reading, ends the claims whose
// VM has another version, and puts the other writes first in the queue. If the
// error names no keys, all rows are read.
func (m *Machine) handleConflict(t *Task, keys []string) {
	conflicting := map[string]bool{}
	for _, k := range keys {
		conflicting[k] = true
	}
	var retry []*op
	for _, o := range t.ops {
		switch {
		case conflicting[o.key] || len(keys) == 0:
			m.reads = append(m.reads, o)
		case o.Kind == Claim && conflicting[store.KeyVM(o.VM)]:
			m.end(o, Reply{Status: StaleVM, RecordMayExist: o.recordMayExist})
		default:
			retry = append(retry, o)
		}
	}
	m.writes = append(retry, m.writes...)
}
