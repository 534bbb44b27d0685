package pools

import (
	"context"
	"errors"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/internal/guard"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// startFindJobs starts to read jobs that workers report and that may have been
// submitted through any queue. The result is posted as jobsFound.
func (d *Duty) startFindJobs(ctx context.Context, p *pool, ids []string) {
	result := jobsFound{pool: p.Name, token: p.Control.Token, ids: ids}
	d.Log.Info("reading jobs that workers report", "pool", p.Name, "jobs", ids)
	d.storePool.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, jobsReadTimeout)
		defer cancel()
		result.err = guard.Call(d.Log, "find jobs", errCallPanicked, func() error { return d.findJobs(callCtx, &result) })
		d.postResult(ctx, result)
	})
}

// findJobs looks the jobs up in all queues. It runs on a goroutine of storePool.
func (d *Duty) findJobs(ctx context.Context, result *jobsFound) error {
	parts, err := d.Feed.Parts(ctx, store.TableWork)
	if err != nil {
		return err
	}
	queues := map[string]bool{}
	for _, part := range parts {
		queues[store.QueueOfPart(part)] = true
	}
	for _, id := range result.ids {
		for queue := range queues {
			job := workload.JobKey{Queue: queue, ID: id}
			found, err := d.appendRow(ctx, &result.workRows, store.KeyWork(job))
			if err != nil {
				return err
			}
			if !found {
				continue
			}
			if _, err := d.appendRow(ctx, &result.workRows, store.KeyWorkCancel(job)); err != nil {
				return err
			}
		}
		if _, err := d.appendRow(ctx, &result.progressRows, store.KeyProgress(result.pool, id)); err != nil {
			return err
		}
	}
	return nil
}

// appendRow appends a row to list and reports whether the row exists.
func (d *Duty) appendRow(ctx context.Context, list *[]store.Row, key string) (bool, error) {
	row, err := d.Table.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	*list = append(*list, row)
	return true, nil
}

func (d *Duty) handleJobsFound(result jobsFound) {
	p := d.pools[result.pool]
	if p.engine == nil || p.Control.Token != result.token {
		return
	}
	if result.err != nil {
		d.Log.Warn("jobs that workers report can't be read", "pool", p.Name, "error", result.err)
		p.addEvent(engine.JobsSearched{IDs: result.ids})
		return
	}
	progressByJob := d.decodeProgress(p, result.progressRows)
	for _, row := range result.workRows {
		d.addWorkEvent(p, store.Change{Row: row}, progressByJob)
	}
	p.addEvent(engine.JobsSearched{IDs: result.ids, OK: true})
}
