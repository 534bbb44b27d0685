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
	return ok(slices.SortedFunc(maps.Values(s.tasks.workers), func(a, b store.Worker) int {
		return cmp.Compare(a.ID, b.ID)
	}))
}

type startTask struct{ task store.Task }

func (o startTask) apply(s *state) reply {
	if s.fleet.isAway(o.task.Worker, s.now()) {
		return reply{status: statusUnavailable, json: wire.Problem{Error: "worker is rebooting"}}
	}
	real, usage := traits(s.cfg.Seed, o.task, s.faults.RunSigma, s.faults.UsageSigma)
	fails := slices.Contains(s.faults.FailWorkers, o.task.Worker)
	return runReply(s.tasks.start(o.task, s.now(), real, usage, fails))
}

// actOnTask is a call with a hold; path tells which.
type actOnTask struct {
	path string
	hold wire.Hold
}

func (o actOnTask) apply(s *state) reply {
	now := s.now()
	return runReply(s.tasks.act(o.hold.Hold, now, func(r *run) error {
		switch o.path {
		case wire.PathRenew:
			r.leaseEnd = now.Add(o.hold.Lease)
		case wire.PathCheckpoint:
			r.checkpoint = r.progressIn(r.phaseAt(now), now)
		case wire.PathThrottle:
			return s.tasks.throttle(r, o.hold.MilliCores, now)
		case wire.PathStop:
			r.stopped = now
		}
		return nil
	}))
}

type readUsage struct {
	after string
	limit int
}

func (o readUsage) apply(s *state) reply {
	return ok(s.tasks.usage(s.now().Add(-time.Duration(s.faults.VMLag)), o.after, o.limit))
}

func runReply(run store.Run, err error) reply {
	codes := map[error]string{
		store.ErrFenced:    wire.CodeFenced,
		store.ErrNoRoom:    wire.CodeNoRoom,
		store.ErrNeverFits: wire.CodeNeverFits,
	}
	switch {
	case err == nil:
		return ok(run)
	case errors.Is(err, store.ErrNotFound):
		return reply{status: fasthttp.StatusNotFound, json: wire.Problem{Error: "no such task or worker"}}
	default:
		return reply{status: fasthttp.StatusConflict, json: wire.Problem{Error: err.Error(), Code: codes[err]}}
	}
}

// decodeTask returns the operation of a call on workers, or nil for an
// unknown path.
func decodeTask(ctx *fasthttp.RequestCtx) (class, operation, error) {
	switch path := string(ctx.Path()); path {
	case wire.PathWorkers:
		return workerRead, listWorkers{}, nil
	case wire.PathUsage:
		limit := ctx.QueryArgs().GetUintOrZero("limit")
		if limit == 0 || limit > wire.MaxUsage {
			limit = wire.MaxUsage
		}
		return workerRead, readUsage{string(ctx.QueryArgs().Peek("after")), limit}, nil
	case wire.PathStart:
		var t store.Task
		if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
			return workerWrite, nil, err
		}
		return workerWrite, startTask{t}, checkTask(t)
	case wire.PathRenew, wire.PathCheckpoint, wire.PathThrottle, wire.PathStop:
		var h wire.Hold
		if err := json.Unmarshal(ctx.PostBody(), &h); err != nil {
			return workerWrite, nil, err
		}
		return workerWrite, actOnTask{path, h}, checkHold(path, h)
	}
	return control, nil, nil
}

func checkTask(t store.Task) error {
	if t.ID == "" || t.Token == 0 || t.Lease <= 0 || t.Declared <= 0 {
		return fmt.Errorf("task %q: want an id, a token, a lease and a declared run time", t.ID)
	}
	if t.MilliCores < 0 || t.MemoryMB < 0 || t.Accelerators < 0 || t.Progress < 0 {
		return fmt.Errorf("task %q: resources and progress must not be negative", t.ID)
	}
	return nil
}

func checkHold(path string, h wire.Hold) error {
	if path == wire.PathRenew && h.Lease <= 0 {
		return fmt.Errorf("task %q: want a lease", h.Task)
	}
	if path == wire.PathThrottle && h.MilliCores < 0 {
		return fmt.Errorf("task %q: processors must not be negative", h.Task)
	}
	return nil
}
