package pools

import (
	"slices"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/internal/times"
	"github.com/carobwharf/carobwharf/node/follow"
	"github.com/carobwharf/carobwharf/node/holder"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// handleWorkDelta applies changes of the work table.
func (d *Duty) handleWorkDelta(delta follow.Delta) {
	if delta.Failed {
		return
	}
	d.workFollowed = d.workFollowed || delta.Reset
	for _, name := range d.names {
		p := d.pools[name]
		p.missedChanges = p.missedChanges || delta.Reset
		if !p.missedChanges && !p.readingJobs {
			p.jobsReadSent = times.Later(p.jobsReadSent, delta.Sent)
		}
	}
	for _, c := range delta.Changes {
		d.handleWorkChange(d.decodeWorkChange(c))
	}
}

// workChange is a change of a row of the work table.
type workChange struct {
	store.Change
	isCancellation bool
	cancelled      workload.JobKey      // job of a cancellation
	submission     *workload.Submission // nil: the row is none, is removed, or can't be decoded
}

func (d *Duty) decodeWorkChange(c store.Change) workChange {
	w := workChange{Change: c}
	if w.cancelled, w.isCancellation = store.CancelledWork(c.Key); w.isCancellation || c.Removed {
		return w
	}
	submission, err := rows.DecodeWork(c.Value)
	if err != nil {
		d.Log.Warn("can't decode submission", "row", c.Key, "error", err)
		return w
	}
	w.submission = &submission
	return w
}

// handleWorkChange passes a changed row to the pools that this process holds and that it
// concerns. The pool of a submission is stored with it. That of a cancellation is not
// known from its row, so each pool compares it with its jobs.
func (d *Duty) handleWorkChange(w workChange) {
	for _, name := range d.names {
		p := d.pools[name]
		switch {
		case !w.isCancellation && (w.submission == nil || w.submission.Pool != name):
		case p.engine != nil && !(p.readingJobs && p.awaitsRead(w)):
			d.addDecodedEvent(p, w, nil)
		case p.State == holder.Held && p.readingJobs:
			p.keepEarlyChange(w.Change)
		}
	}
}

// awaitsRead reports whether the change may belong to a job that the engine does not know
// before the read in progress has ended.
func (p *pool) awaitsRead(w workChange) bool {
	if !w.isCancellation || p.engine.Expects(w.cancelled) {
		return false
	}
	return !slices.ContainsFunc(p.events, func(e engine.Event) bool {
		added, ok := e.(engine.JobAdded)
		return ok && added.Submission.Key() == w.cancelled
	})
}

// maxEarlyBytes is the maximum size of the rows that wait for the end of a read. A VM with
// 184 MB may read the jobs of several pools at the same time.
const maxEarlyBytes = 4 << 20

// keepEarlyChange keeps a change until the read in progress has ended. If there are too
// many, the jobs are read once more instead.
func (p *pool) keepEarlyChange(c store.Change) {
	if p.earlyBytes += len(c.Key) + len(c.Value); p.earlyBytes > maxEarlyBytes {
		p.clearEarlyChanges()
		p.missedChanges = true
		return
	}
	p.earlyChanges = append(p.earlyChanges, c)
}

func (p *pool) clearEarlyChanges() { p.earlyChanges, p.earlyBytes = nil, 0 }

// applyEarlyChanges queues events for the changes that arrived during a read.
func (d *Duty) applyEarlyChanges(p *pool, progressByJob map[string]*workload.Progress) {
	for _, c := range p.earlyChanges {
		d.addWorkEvent(p, c, progressByJob)
	}
	p.clearEarlyChanges()
}

// addWorkEvent queues an event for a row of the work table. It returns 1 if the
// row is a submission to the pool that can be scheduled, otherwise 0. progressByJob is
// nil if progress was not read; in it, nil stands for progress that can't be decoded.
func (d *Duty) addWorkEvent(p *pool, c store.Change, progressByJob map[string]*workload.Progress) int {
	return d.addDecodedEvent(p, d.decodeWorkChange(c), progressByJob)
}

func (d *Duty) addDecodedEvent(p *pool, w workChange, progressByJob map[string]*workload.Progress) int {
	if w.isCancellation {
		d.recordTombstone(p, w)
		if !w.Removed {
			p.addEvent(engine.CancelRequested{Job: w.cancelled})
		}
		return 0
	}
	work := w.submission
	if work == nil || work.Pool != p.Name {
		return 0
	}
	if err := work.Validate(); err != nil {
		d.Log.Error("a stored job can't be scheduled", "row", w.Key, "error", err)
		return 0
	}
	recovered := w.Version < p.TakenVersion && p.Control.Token > 1
	if recovered && progressByJob == nil {
		p.requireRead(work.Queue.Key())
		return 0 // the engine has it already or is given it with its progress
	}
	progress, found := progressByJob[work.ID]
	switch {
	case found && progress == nil:
		return 0 // without its progress, done tasks would run again
	case found && !progress.BelongsTo(work.Queue.Key()):
		d.Log.Warn("not scheduling a job whose ID is in use by another queue of its pool", "row", w.Key)
		return 0
	}
	p.addEvent(engine.JobAdded{Submission: *work, Progress: progress, Recovered: recovered})
	return 1
}

// requireRead makes the duty read the jobs of a queue unless it has done or will do so.
func (p *pool) requireRead(queue string) {
	if p.queues[queue] || slices.Contains(p.FormerControl.Queues, queue) {
		return
	}
	p.queues[queue] = true
	p.unreadQueues = append(p.unreadQueues, queue)
}
