package platform

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/worker/wire"
	"github.com/carobwharf/carobwharf/store"
)

type listWorkers struct{}

func (listWorkers) apply(s *state) reply {
	return okReply(slices.SortedFunc(maps.Values(s.tasks.workers), func(a, b store.Worker) int {
		return cmp.Compare(a.ID, b.ID)
	}))
}

type startTask struct{ task store.Task }

func (o startTask) apply(s *state) reply {
	if s.fleet.isRebooting(o.task.Worker, s.now()) {
		return reply{status: statusUnavailable, json: wire.Problem{Error: "worker is rebooting"}}
	}
	workTime, usageFactor := sampleRunTimeAndUsage(s.cfg.Seed, o.task, s.faults.RunSigma, s.faults.UsageSigma)
	fails := slices.Contains(s.faults.FailWorkers, o.task.Worker)
	return runReply(s.tasks.start(o.task, s.now(), workTime, usageFactor, fails))
}

// updateTask is a call on a started task: renew, checkpoint, throttle or stop, by
// path.
type updateTask struct {
	path string
	hold wire.Hold
}

func (o updateTask) apply(s *state) reply {
	now := s.now()
	run, err := s.tasks.updateRun(o.hold.Hold, now, func(r *run) error {
		switch o.path {
		case wire.PathRenew:
			r.leaseEnd = now.Add(o.hold.Lease)
		case wire.PathCheckpoint:
			r.checkpoint = r.progressAt(r.phaseAt(now), now)
		case wire.PathThrottle:
			return s.tasks.throttle(r, o.hold.MilliCores, now)
		case wire.PathStop:
			r.stopped = now
		}
		return nil
	})
	if o.path == wire.PathStop && errors.Is(err, store.ErrNotFound) {
		s.tasks.refuseStarts(o.hold.Hold)
	}
	return runReply(run, err)
}

type readUsageReport struct {
	after string
	limit int
}

func (o readUsageReport) apply(s *state) reply {
	return okReply(s.tasks.usageReport(s.now().Add(-time.Duration(s.faults.VMLag)), o.after, o.limit))
}

func runReply(run store.Run, err error) reply {
	codes := map[error]string{
		store.ErrFenced:    wire.CodeFenced,
		store.ErrNoRoom:    wire.CodeNoRoom,
		store.ErrNeverFits: wire.CodeNeverFits,
	}
	switch {
	case err == nil:
		return okReply(run)
	case errors.Is(err, store.ErrNotFound):
		return reply{status: fasthttp.StatusNotFound, json: wire.Problem{Error: "no such task or worker"}}
	default:
		return reply{status: fasthttp.StatusConflict, json: wire.Problem{Error: err.Error(), Code: codes[err]}}
	}
}

// decodeTask returns the operation of a call on workers or tasks, or nil for an
// unknown path.
func decodeTask(ctx *fasthttp.RequestCtx) (callClass, operation, error) {
	switch path := string(ctx.Path()); path {
	case wire.PathWorkers:
		return classWorkerRead, listWorkers{}, nil
	case wire.PathUsage:
		limit := ctx.QueryArgs().GetUintOrZero("limit")
		if limit == 0 || limit > wire.MaxUsage {
			limit = wire.MaxUsage
		}
		return classWorkerRead, readUsageReport{string(ctx.QueryArgs().Peek("after")), limit}, nil
	case wire.PathStart:
		var t store.Task
		if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
			return classWorkerWrite, nil, err
		}
		return classWorkerWrite, startTask{t}, validateTask(t)
	case wire.PathRenew, wire.PathCheckpoint, wire.PathThrottle, wire.PathStop:
		var h wire.Hold
		if err := json.Unmarshal(ctx.PostBody(), &h); err != nil {
			return classWorkerWrite, nil, err
		}
		return classWorkerWrite, updateTask{path, h}, validateHold(path, h)
	}
	return classControl, nil, nil
}

func validateTask(t store.Task) error {
	if t.ID == "" || t.Token == 0 || t.Lease <= 0 || t.Declared <= 0 {
		return fmt.Errorf("task %q: want an id, a token, a lease and a declared run time", t.ID)
	}
	if t.MilliCores < 0 || t.MemoryMB < 0 || t.Accelerators < 0 || t.Progress < 0 {
		return fmt.Errorf("task %q: resources and progress must not be negative", t.ID)
	}
	return nil
}

func validateHold(path string, h wire.Hold) error {
	if path == wire.PathRenew && h.Lease <= 0 {
		return fmt.Errorf("task %q: want a lease", h.Task)
	}
	if path == wire.PathThrottle && h.MilliCores < 0 {
		return fmt.Errorf("task %q: processors must not be negative", h.Task)
	}
	return nil
}
