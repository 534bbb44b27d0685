package jobs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/daemon/controller/jobs/machine"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// usagePageSize is the number of runs read in one page of the usage report.
const usagePageSize = 1000

// scanTimeoutFactor is the timeout of a scan of all rows or of the whole usage
// report, as a multiple of the timeout of one call.
const scanTimeoutFactor = 5

// perform carries out one action, blocking until it is complete, and returns
// its result.
func (d *Duty) perform(ctx context.Context, a machine.Action) machine.Event {
	timeout := d.opts.Timeout
	switch a.(type) {
	case machine.Scan, machine.ReadUsage:
		timeout *= scanTimeoutFactor
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch a := a.(type) {
	case machine.Scan:
		return d.scan(ctx)
	case machine.ReadJob:
		return d.readJob(ctx, a.ID)
	case machine.WriteJob:
		return d.writeJob(ctx, a.Job)
	case machine.ReadUsage:
		return d.readUsage(ctx)
	case machine.Call:
		return d.callWorker(ctx, a)
	}
	panic(fmt.Sprintf("jobs: unknown action type %T", a))
}

// failedResult returns the result of an action that the goroutine pool did not
// accept.
func failedResult(a machine.Action) machine.Event {
	switch a := a.(type) {
	case machine.ReadJob:
		return machine.ReadResult{ID: a.ID, Failed: true}
	case machine.WriteJob:
		return machine.WriteResult{Job: a.Job, Outcome: machine.OutcomeNotApplied}
	case machine.ReadUsage:
		return machine.UsageResult{Failed: true}
	case machine.Call:
		return machine.CallResult{Call: a, Outcome: machine.OutcomeNotApplied}
	}
	return machine.ScanResult{Failed: true}
}

// scan reads the leases, and the jobs if this process holds any lease.
func (d *Duty) scan(ctx context.Context) machine.ScanResult {
	out := machine.ScanResult{Started: time.Now()}
	held, err := d.scanLeases(ctx, &out)
	if err == nil && held {
		err = d.scanJobs(ctx, &out)
	}
	if err != nil {
		d.opts.Metrics.Counter("jobs.scan_failed").Inc(1)
		d.opts.Log.Warn("failed to read lease and job rows from the platform", "error", err)
		return machine.ScanResult{Failed: true}
	}
	return out
}

func (d *Duty) scanLeases(ctx context.Context, out *machine.ScanResult) (held bool, err error) {
	found, err := store.ScanAll(ctx, d.opts.Table, store.PrefixLease)
	for _, r := range found {
		l, err := rows.DecodeLease(r.Value)
		if err != nil {
			d.opts.Log.Error("skipping lease row that cannot be decoded", "key", r.Key, "error", err)
			continue
		}
		held = held || l.Holder == d.opts.Machine.ID
		out.Leases = append(out.Leases, machine.LeaseRow{
			Pool: strings.TrimPrefix(r.Key, store.PrefixLease), Version: r.Version,
			Holder: l.Holder, Token: l.Token, Duration: l.Duration,
		})
	}
	return held, err
}

func (d *Duty) scanJobs(ctx context.Context, out *machine.ScanResult) error {
	found, err := store.ScanAll(ctx, d.opts.Table, store.PrefixJob)
	for _, r := range found {
		j, err := rows.DecodeJob(r.Value, r.Version)
		if err != nil {
			d.opts.Log.Error("skipping job row that cannot be decoded", "key", r.Key, "error", err)
			continue
		}
		out.Jobs = append(out.Jobs, j)
	}
	return err
}

func (d *Duty) readJob(ctx context.Context, id string) machine.ReadResult {
	j, err := readJob(ctx, d.opts.Table, id)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return machine.ReadResult{ID: id}
	case err != nil:
		return machine.ReadResult{ID: id, Failed: true}
	}
	return machine.ReadResult{ID: id, Job: &j}
}

func readJob(ctx context.Context, t store.Table, id string) (structs.Job, error) {
	row, err := t.Get(ctx, store.KeyJob(id))
	if err != nil {
		return structs.Job{}, fmt.Errorf("job %s: %w", id, err)
	}
	return rows.DecodeJob(row.Value, row.Version)
}

func (d *Duty) writeJob(ctx context.Context, j structs.Job) machine.WriteResult {
	version, err := commitJob(ctx, d.opts.Table, j)
	return machine.WriteResult{Job: j, Version: version, Outcome: outcomeOf(err)}
}

// commitJob writes the row of a job if its stored version is the job's
// version; 0 means that the row must not exist. If the outcome of the write is
// unknown, the row is read to find out whether the write took effect.
func commitJob(ctx context.Context, t store.Table, j structs.Job) (uint64, error) {
	value, err := rows.EncodeJob(j)
	if err != nil {
		return 0, err
	}
	op := store.Op{Kind: store.OpUpdate, Key: store.KeyJob(j.Spec.ID), Expect: j.Version, Value: value}
	if j.Version == 0 {
		op.Kind = store.OpInsert
	}
	versions, err := t.Commit(ctx, []store.Op{op})
	if err == nil {
		return versions[0], nil
	}
	if !errors.Is(err, store.ErrUnknown) {
		return 0, fmt.Errorf("write job %s: %w", j.Spec.ID, err)
	}
	row, readErr := t.Get(ctx, op.Key)
	if readErr == nil && row.Version != j.Version && bytes.Equal(row.Value, value) {
		return row.Version, nil
	}
	return 0, fmt.Errorf("write job %s: %w", j.Spec.ID, err)
}

func (d *Duty) readUsage(ctx context.Context) machine.UsageResult {
	var out machine.UsageResult
	for after := ""; ; {
		page, err := d.opts.Workers.Usage(ctx, after, usagePageSize)
		if err != nil {
			d.opts.Log.Debug("failed to read usage report", "error", err)
			return machine.UsageResult{Failed: true}
		}
		for _, r := range page {
			out.Runs = append(out.Runs, toMachineRun(r))
		}
		if len(page) == 0 || page[len(page)-1].Task == after {
			return out
		}
		after = page[len(page)-1].Task
	}
}

func toMachineRun(r store.Run) machine.Run {
	return machine.Run{
		Job: r.Task, Token: r.Token, State: machine.RunState(r.State), Ran: r.Ran, Checkpoint: r.Checkpoint,
		MilliCores: r.UsedMilliCores, MemoryMB: r.UsedMemoryMB,
	}
}

// callWorker calls a worker. A checkpoint is followed by a stop, as work done
// after the checkpoint would be lost.
func (d *Duty) callWorker(ctx context.Context, c machine.Call) machine.CallResult {
	out := machine.CallResult{Call: c, Sent: time.Now()}
	hold := store.Hold{Task: c.Job, Token: c.Token, Lease: c.Lease}
	w := d.opts.Workers
	var run store.Run
	var err error
	switch c.Kind {
	case machine.CallStart:
		run, err = w.Start(ctx, store.Task{
			ID: c.Job, Worker: c.Worker, Token: c.Token, MilliCores: c.MilliCores, MemoryMB: c.MemoryMB,
			Accelerators: c.Accelerators, Declared: c.Declared, Lease: c.Lease, Progress: c.Progress,
		})
	case machine.CallRenew:
		run, err = w.Renew(ctx, hold)
	case machine.CallThrottle, machine.CallRestore:
		run, err = w.Throttle(ctx, hold, c.MilliCores)
	case machine.CallCheckpoint:
		if _, err = w.Checkpoint(ctx, hold); err == nil {
			run, err = w.Stop(ctx, hold)
		}
	case machine.CallStop:
		run, err = w.Stop(ctx, hold)
	}
	out.Run, out.Outcome = toMachineRun(run), outcomeOf(err)
	return out
}

// outcomeOf returns the outcome that an error of package store stands for.
func outcomeOf(err error) machine.Outcome {
	conflict := new(store.ConflictError)
	switch {
	case err == nil:
		return machine.OutcomeDone
	case errors.As(err, &conflict):
		return machine.OutcomeConflict
	case errors.Is(err, store.ErrFenced):
		return machine.OutcomeFenced
	case errors.Is(err, store.ErrNoRoom), errors.Is(err, store.ErrNeverFits):
		return machine.OutcomeNoCapacity
	case errors.Is(err, store.ErrNotFound):
		return machine.OutcomeNotFound
	case errors.Is(err, store.ErrUnavailable):
		return machine.OutcomeNotApplied
	}
	return machine.OutcomeUnknown
}
