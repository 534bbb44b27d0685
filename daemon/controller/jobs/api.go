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

// cancelTries bounds the repetitions of a cancellation that lost to another
// change of the row.
const cancelTries = 5

// SubmitJob writes the row of a job. A repetition returns the job as it is.
// Any controller takes submissions; the holder of the pool's lease finds the
// row at its next reading.
func (d *Duty) SubmitJob(ctx context.Context, s structs.JobSpec) (operator.JobReply, error) {
	if err := d.checkSpec(&s); err != nil {
		return operator.JobReply{}, err
	}
	return inPool(ctx, d, func(ctx context.Context) (operator.JobReply, error) {
		j := structs.Job{Spec: s, Submitted: time.Now().UTC().Round(0), State: structs.JobQueued, Holder: d.opts.Machine.ID}
		version, err := commitJob(ctx, d.opts.Table, j)
		conflict := new(store.ConflictError)
		switch {
		case errors.As(err, &conflict):
			return d.repeated(ctx, s)
		case err != nil:
			return operator.JobReply{}, apiError(err)
		}
		j.Version = version
		_ = d.events.Put(ctx, machine.Event(machine.JobChanged{Job: j})) // the next reading finds it as well
		return operator.JobReply{Job: j}, nil
	})
}

func (d *Duty) repeated(ctx context.Context, s structs.JobSpec) (operator.JobReply, error) {
	j, err := readJob(ctx, d.opts.Table, s.ID)
	if err != nil {
		return operator.JobReply{}, apiError(err)
	}
	if j.Spec != s {
		return operator.JobReply{}, &operator.Error{Code: operator.CodeConflict, Message: fmt.Sprintf("job %s exists with another content", s.ID)}
	}
	return operator.JobReply{Job: j, Repeated: true}, nil
}

// Job returns a job.
func (d *Duty) Job(ctx context.Context, id string) (operator.JobReply, error) {
	return inPool(ctx, d, func(ctx context.Context) (operator.JobReply, error) {
		j, err := readJob(ctx, d.opts.Table, id)
		return operator.JobReply{Job: j}, apiError(err)
	})
}

// CancelJob ends a waiting job at once and asks the holder of the pool's
// lease to stop a running one. A job that has ended stays as it is.
func (d *Duty) CancelJob(ctx context.Context, id string) (operator.JobReply, error) {
	return inPool(ctx, d, func(ctx context.Context) (reply operator.JobReply, err error) {
		for range cancelTries {
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

// Jobs returns a team's jobs, or those of all teams, in order of id.
func (d *Duty) Jobs(ctx context.Context, r operator.JobsRequest) (operator.JobsReply, error) {
	return inPool(ctx, d, func(ctx context.Context) (operator.JobsReply, error) {
		found, err := store.ScanAll(ctx, d.opts.Table, store.PrefixJob)
		if err != nil {
			return operator.JobsReply{}, apiError(err)
		}
		return selectJobs(found, r)
	})
}

// checkSpec refuses what can be refused without the fleet.
func (d *Duty) checkSpec(s *structs.JobSpec) error {
	bad := func(format string, args ...any) error {
		return &operator.Error{Code: operator.CodeBadRequest, Message: "job: " + fmt.Sprintf(format, args...)}
	}
	config := d.config.Load()
	switch {
	case s.ID == "" || len(s.ID) > maxName || strings.ContainsAny(s.ID, "/ \t\n"):
		return bad("ID %q: want 1 to %d characters without slashes and spaces", s.ID, maxName)
	case len(s.Team) > maxName || len(s.Kind) > maxName:
		return bad("Team and Kind: want at most %d characters", maxName)
	case s.Class != structs.ClassUrgent && s.Class != structs.ClassStandard && s.Class != structs.ClassBatch:
		return bad("Class %q: want urgent, standard or batch", s.Class)
	case s.MilliCores <= 0 || s.MemoryMB <= 0 || s.Accelerators < 0 || s.RunTime <= 0 || s.Attempts < 0:
		return bad("want positive MilliCores, MemoryMB and RunTime, and no negative Accelerators or Attempts")
	case config == nil:
		return &operator.Error{Code: operator.CodeUnavailable, Message: "no configuration is in force"}
	case config.Set.Pool(s.Pool) == nil:
		return bad("Pool %q does not exist", s.Pool)
	case s.Team != "" && !hasTeam(&config.Set, s.Team):
		return bad("Team %q does not exist", s.Team)
	}
	return nil
}

// maxName bounds names that teams choose, in bytes.
const maxName = 200

func hasTeam(set *structs.ObjectSet, name string) bool {
	for i := range set.Teams {
		if set.Teams[i].Name == name {
			return true
		}
	}
	return false
}

// inPool runs a call to the platform in the duty's pool and waits for it.
func inPool[T any](ctx context.Context, d *Duty, f func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	var none T
	reply := make(chan result, 1)
	if err := d.pool.Go(func() { v, err := f(ctx); reply <- result{v, err} }); err != nil {
		return none, &operator.Error{Code: operator.CodeBusy, Message: err.Error()}
	}
	select {
	case r := <-reply:
		return r.value, r.err
	case <-ctx.Done():
		return none, &operator.Error{Code: operator.CodeUnknown, Message: ctx.Err().Error()}
	}
}

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
