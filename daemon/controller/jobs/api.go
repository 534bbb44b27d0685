package jobs

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/daemon/controller/jobs/machine"
	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

var _ operator.JobHandler = (*Duty)(nil)

// maxCancelAttempts bounds how often a cancellation is attempted whose write
// fails, for example because the row has changed since it was read.
const maxCancelAttempts = 5

// SubmitJob writes the row of a new job. A repeated submission returns the
// existing job. Any controller accepts submissions; the holder of the pool's
// lease finds the row in its next scan.
func (d *Duty) SubmitJob(ctx context.Context, s structs.JobSpec) (operator.JobReply, error) {
	if err := d.checkSpec(&s); err != nil {
		return operator.JobReply{}, err
	}
	return callInPool(ctx, d, func(ctx context.Context) (operator.JobReply, error) {
		j := structs.Job{Spec: s, Submitted: time.Now().UTC().Round(0), State: structs.JobQueued, Holder: d.opts.Machine.ID}
		version, err := commitJob(ctx, d.opts.Table, j)
		conflict := new(store.ConflictError)
		switch {
		case errors.As(err, &conflict):
			return d.existingJob(ctx, s)
		case err != nil:
			return operator.JobReply{}, apiError(err)
		}
		j.Version = version
		_ = d.events.Put(ctx, machine.Event(machine.JobChanged{Job: j})) // if it is dropped, the next scan finds the row
		return operator.JobReply{Job: j}, nil
	})
}

// existingJob returns the reply to a submission whose row exists already: the
// existing job if it has the same spec, or a conflict.
func (d *Duty) existingJob(ctx context.Context, s structs.JobSpec) (operator.JobReply, error) {
	j, err := readJob(ctx, d.opts.Table, s.ID)
	if err != nil {
		return operator.JobReply{}, apiError(err)
	}
	if j.Spec != s {
		return operator.JobReply{}, &operator.Error{Code: operator.CodeConflict, Message: fmt.Sprintf("job %s exists with another content", s.ID)}
	}
	return operator.JobReply{Job: j, Repeated: true}, nil
}

// Job returns the job with the given ID.
func (d *Duty) Job(ctx context.Context, id string) (operator.JobReply, error) {
	return callInPool(ctx, d, func(ctx context.Context) (operator.JobReply, error) {
		j, err := readJob(ctx, d.opts.Table, id)
		return operator.JobReply{Job: j}, apiError(err)
	})
}

// CancelJob cancels a waiting job immediately. For a running job it records a
// cancel request in the row, and the holder of the pool's lease stops the run.
// A job that has ended is not changed.
func (d *Duty) CancelJob(ctx context.Context, id string) (operator.JobReply, error) {
	return callInPool(ctx, d, func(ctx context.Context) (reply operator.JobReply, err error) {
		for range maxCancelAttempts {
			var j structs.Job
			if j, err = readJob(ctx, d.opts.Table, id); err != nil {
				return operator.JobReply{}, apiError(err)
			}
			if j.State.Ended() || j.Cancel {
				return operator.JobReply{Job: j, Repeated: true}, nil
			}
			j.Cancel, j.Holder = true, d.opts.Machine.ID
			if j.State == structs.JobQueued {
				j.State = structs.JobCancelled
			}
			if j.Version, err = commitJob(ctx, d.opts.Table, j); err == nil {
				_ = d.events.Put(ctx, machine.Event(machine.JobChanged{Job: j}))
				return operator.JobReply{Job: j}, nil
			}
		}
		return operator.JobReply{}, apiError(err)
	})
}

// Jobs returns a team's jobs, or those of all teams, in order of ID.
func (d *Duty) Jobs(ctx context.Context, r operator.JobsRequest) (operator.JobsReply, error) {
	return callInPool(ctx, d, func(ctx context.Context) (operator.JobsReply, error) {
		found, err := store.ScanAll(ctx, d.opts.Table, store.PrefixJob)
		if err != nil {
			return operator.JobsReply{}, apiError(err)
		}
		return selectJobs(found, r)
	})
}

// checkSpec validates a spec as far as that is possible without the fleet.
func (d *Duty) checkSpec(s *structs.JobSpec) error {
	badRequest := func(format string, args ...any) error {
		return &operator.Error{Code: operator.CodeBadRequest, Message: "job: " + fmt.Sprintf(format, args...)}
	}
	config := d.config.Load()
	switch {
	case s.ID == "" || len(s.ID) > maxNameBytes || strings.ContainsAny(s.ID, "/ \t\n"):
		return badRequest("ID %q: want 1 to %d characters without slashes and spaces", s.ID, maxNameBytes)
	case len(s.Team) > maxNameBytes || len(s.Kind) > maxNameBytes:
		return badRequest("Team and Kind: want at most %d characters", maxNameBytes)
	case s.Class != structs.ClassUrgent && s.Class != structs.ClassStandard && s.Class != structs.ClassBatch:
		return badRequest("Class %q: want urgent, standard or batch", s.Class)
	case s.MilliCores <= 0 || s.MemoryMB <= 0 || s.Accelerators < 0 || s.RunTime <= 0 || s.Attempts < 0:
		return badRequest("want positive MilliCores, MemoryMB and RunTime, and no negative Accelerators or Attempts")
	case config == nil:
		return &operator.Error{Code: operator.CodeUnavailable, Message: "no configuration is in force"}
	case config.Set.Pool(s.Pool) == nil:
		return badRequest("Pool %q does not exist", s.Pool)
	case s.Team != "" && !hasTeam(&config.Set, s.Team):
		return badRequest("Team %q does not exist", s.Team)
	}
	return nil
}

// maxNameBytes is the maximum length of an ID, a team or a kind.
const maxNameBytes = 200

func hasTeam(set *structs.ObjectSet, name string) bool {
	for i := range set.Teams {
		if set.Teams[i].Name == name {
			return true
		}
	}
	return false
}

// callInPool runs f, which calls the platform, in the duty's goroutine pool and
// waits for its result. The call is rejected as busy if the queue is full.
func callInPool[T any](ctx context.Context, d *Duty, f func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	var zero T
	reply := make(chan result, 1)
	if err := d.pool.Go(func() { v, err := f(ctx); reply <- result{v, err} }); err != nil {
		return zero, &operator.Error{Code: operator.CodeBusy, Message: err.Error()}
	}
	select {
	case r := <-reply:
		return r.value, r.err
	case <-ctx.Done():
		return zero, &operator.Error{Code: operator.CodeUnknown, Message: ctx.Err().Error()}
	}
}

// apiError converts an error of package store to one of the operators' API.
func apiError(err error) error {
	conflict := new(store.ConflictError)
	code := operator.CodeInternal
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrNotFound):
		code = operator.CodeNotFound
	case errors.Is(err, store.ErrUnavailable):
		code = operator.CodeUnavailable
	case errors.Is(err, store.ErrUnknown):
		code = operator.CodeUnknown
	case errors.As(err, &conflict):
		code = operator.CodeBusy
	}
	return &operator.Error{Code: code, Message: err.Error()}
}
