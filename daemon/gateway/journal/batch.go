package journal

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/store"
)

// Next returns the calls to start now.
func (m *Machine) Next(now time.Time) []*Task {
	m.wakeLater(now)
	if m.down {
		m.refuseClaims()
	}
	var tasks []*Task
	for m.running < m.opts.Workers && !m.mustWait(now) {
		t := m.nextTask(now)
		if t == nil {
			break
		}
		m.running++
		tasks = append(tasks, t)
	}
	return tasks
}

// mustWait reports whether the circuit is open. At its end one call tries
// whether the platform is back.
func (m *Machine) mustWait(now time.Time) bool {
	return m.down && (now.Before(m.tryAt) || m.running > 0)
}

// refuseClaims ends the waiting claims while the platform is down. If nothing
// else would find out whether the platform is back, one claim stays for that.
func (m *Machine) refuseClaims() {
	tried := m.running > 0 || len(m.later) > 0
	refuse := func(o *op) bool {
		if o.Kind != Claim || !tried {
			tried = true
			return false
		}
		m.end(o, Reply{Status: Unavailable, MayExist: o.unsure})
		return true
	}
	m.reads = slices.DeleteFunc(m.reads, refuse)
	m.writes = slices.DeleteFunc(m.writes, refuse)
}

func (m *Machine) wakeLater(now time.Time) {
	kept := m.later[:0]
	for _, o := range m.later {
		if now.Before(o.notNow) {
			kept = append(kept, o)
			continue
		}
		m.enqueue(o)
	}
	clear(m.later[len(kept):])
	m.later = kept
}

func (m *Machine) nextTask(now time.Time) *Task {
	switch {
	case len(m.gets) > 0:
		o := pop(&m.gets)
		return &Task{Kind: GetObject, Object: o.record.Answer.Object, ops: []*op{o}}
	case len(m.reads) > 0:
		return m.readTask()
	case len(m.puts) > 0 && m.writer.Ready(now):
		m.writer.Take(now)
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

// commitTask groups waiting writes into a transaction, once there are enough
// of them or the oldest has waited long enough. A key occurs once in it, and a
// VM is checked against one version.
func (m *Machine) commitTask(now time.Time) *Task {
	m.dropLate(now)
	if !m.mayCommit() {
		return nil
	}
	if !m.writer.Ready(now) {
		return nil
	}
	// While the platform is down, the call that tries it does not linger.
	if !m.down && len(m.writes) < m.opts.Batch && now.Sub(m.writes[0].since) < m.opts.Linger {
		return nil
	}
	t := &Task{Kind: CommitRows}
	keys := map[string]bool{}
	checks := map[string]uint64{}
	var checkOps []store.Op
	rest := m.writes[:0]
	for _, o := range m.writes {
		version, checked := checks[o.VM]
		clash := keys[o.key] || (o.Kind == Claim && checked && version != o.VMVersion)
		if len(t.ops) >= m.opts.Batch || clash {
			rest = append(rest, o)
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
	clear(m.writes[len(rest):])
	m.writes = rest
	// The rows come first, so that versions and ops have the same index.
	t.Ops = append(t.Ops, checkOps...)
	m.writer.Take(now)
	m.commits++
	m.counters.Commits++
	m.counters.Rows += int64(len(t.ops))
	return t
}

// dropLate ends claims whose deadline has passed.
func (m *Machine) dropLate(now time.Time) {
	m.writes = slices.DeleteFunc(m.writes, func(o *op) bool {
		late := o.Kind == Claim && !now.Before(o.Deadline)
		if late {
			m.end(o, Reply{Status: Unavailable, MayExist: o.unsure})
		}
		return late
	})
}

func (m *Machine) committed(now time.Time, r Result) {
	var conflict *store.ConflictError
	switch {
	case r.Err == nil:
		for i, o := range r.Task.ops {
			m.written(o, r.Versions[i])
		}
	case errors.As(r.Err, &conflict):
		m.counters.Conflicts++
		m.conflicted(r.Task, conflict.Keys)
	case errors.Is(r.Err, store.ErrThrottled):
		m.writes = append(slices.Clone(r.Task.ops), m.writes...)
	case errors.Is(r.Err, store.ErrUnavailable):
		for _, o := range r.Task.ops {
			m.failed(now, o)
		}
	default:
		// Any other error may hide an effect, as store.ErrUnknown does.
		m.counters.Unknown++
		for _, o := range r.Task.ops {
			o.unsure = true
			m.reads = append(m.reads, o)
		}
	}
}

func (m *Machine) written(o *op, version uint64) {
	if o.Kind == Claim {
		m.end(o, Reply{Status: Granted, Version: version})
		return
	}
	m.end(o, Reply{Status: Done})
}

// conflicted reads the rows that conflict, ends the claims whose VM has
// changed, and tries the rest again at once.
func (m *Machine) conflicted(t *Task, keys []string) {
	bad := map[string]bool{}
	for _, k := range keys {
		bad[k] = true
	}
	var again []*op
	for _, o := range t.ops {
		switch {
		case bad[o.key] || len(keys) == 0:
			m.reads = append(m.reads, o)
		case o.Kind == Claim && bad[store.KeyVM(o.VM)]:
			m.end(o, Reply{Status: StaleVM, MayExist: o.unsure})
		default:
			again = append(again, o)
		}
	}
	m.writes = append(again, m.writes...)
}
