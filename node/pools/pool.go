package pools

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/internal/times"
	"github.com/carobwharf/carobwharf/node/holder"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// pool is a pool as this process sees it. Its machine exists while the lease
// is held and the jobs have been read.
type pool struct {
	*holder.Holder
	configuration *workload.Configuration
	machine       *engine.Machine
	events        []engine.Event // not yet taken in
	early         []store.Change // arrived while the jobs were being read
	loading       bool
	loadAt        time.Time       // of the next try to read the jobs
	batch         *engine.Batch   // being stored
	load          []byte          // load row as last stored
	writes        []byte          // load row that is being stored; nil: it is not part of the write
	queues        map[string]bool // store.WorkQueue of those that ever led to the pool
	read          time.Time       // sending of the newest complete reading of the pool's jobs
	missed        bool            // changes of the work table were missed
}

// add queues an event for the machine. Without one, its creation tells it all.
func (p *pool) add(e engine.Event) {
	if p.machine != nil {
		p.events = append(p.events, e)
	}
}

// forget drops what belongs to a term that has ended.
func (p *pool) forget() {
	p.machine, p.events, p.early, p.batch, p.load, p.writes = nil, nil, nil, nil, nil, nil
}

// Results of calls, posted by the pool workers.
type (
	written struct {
		pool   string
		result holder.Result
	}
	loaded struct {
		pool  string
		sent  time.Time
		token uint64
		work  []store.Row
		marks []store.Row
		load  rows.Load // of the former owner
		err   error
	}
	answered struct {
		pool  string
		token uint64
		event engine.Event
	}
)

// commit carries a write of a lease row out.
func (d *Duty) commit(ctx context.Context, p *pool, w holder.Write) {
	name := p.Name
	d.stores.Go(func() {
		d.post(ctx, written{pool: name, result: holder.Commit(ctx, d.Table, w)})
	})
}

func (d *Duty) post(ctx context.Context, result any) {
	if err := d.results.Put(ctx, result); err != nil {
		d.Log.Debug("a result came after the end of the duty", "error", err)
	}
}

func (d *Duty) takeResult(result any) {
	switch r := result.(type) {
	case written:
		d.takeWrite(r)
	case loaded:
		d.takeLoad(r)
	case answered:
		if p := d.pools[r.pool]; p.machine != nil && p.Control.Token == r.token {
			p.add(r.event)
		}
	}
}

func (d *Duty) takeWrite(r written) {
	p := d.pools[r.pool]
	batch, writes := p.batch, p.writes
	p.batch, p.writes = nil, nil
	switch p.Take(d.now(), r.result) {
	case holder.Acquired:
		p.forget()
		p.loadAt = time.Time{}
	case holder.Stored:
		if writes != nil {
			p.load = writes
		}
		if batch != nil {
			p.add(engine.Stored{Batch: batch, OK: true})
		}
	case holder.NotStored:
		if batch != nil {
			p.add(engine.Stored{Batch: batch})
		}
	case holder.Released, holder.Lost, holder.NotWon:
		p.forget()
	}
}

// load reads the jobs of a pool that has been taken over, or of which changes
// were missed.
func (d *Duty) load(ctx context.Context, p *pool) {
	r := loaded{pool: p.Name, sent: d.now(), token: p.Control.Token}
	p.loading, p.missed = true, false
	queues := maps.Clone(p.queues)
	for _, q := range p.Former.Queues {
		queues[q] = true
	}
	d.stores.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		r.err = d.read(callCtx, &r, queues)
		d.post(ctx, r)
	})
}

// read reads the rows that a new owner of a pool needs. It runs in the pool of
// store calls.
func (d *Duty) read(ctx context.Context, r *loaded, queues map[string]bool) error {
	parts, err := d.Feed.Parts(ctx, store.TableWork)
	if err != nil {
		return err
	}
	parts = slices.DeleteFunc(parts, func(part string) bool { return !queues[store.QueueOfPart(part)] })
	if len(parts) > 0 {
		if r.work, _, err = d.Feed.Snapshot(ctx, store.TableWork, parts...); err != nil {
			return err
		}
	}
	if r.marks, err = store.ScanAll(ctx, d.Table, store.PrefixProgress(r.pool)); err != nil {
		return err
	}
	row, err := d.Table.Get(ctx, store.KeyLoad(r.pool))
	if errors.Is(err, store.ErrNotFound) {
		return nil // the first owner
	}
	if err == nil {
		r.load, err = rows.DecodeLoad(row.Value)
	}
	return err
}

func (d *Duty) takeLoad(r loaded) {
	p := d.pools[r.pool]
	p.loading = false
	if p.State != holder.Held || p.Control.Token != r.token {
		return
	}
	if r.err != nil {
		d.Log.Warn("jobs of the pool can't be read", "pool", p.Name, "error", r.err)
		p.loadAt, p.missed = d.now().Add(loadRetry), p.machine != nil
		return
	}
	p.read = times.Later(p.read, r.sent)
	if p.machine != nil {
		d.Log.Info("jobs are read again", "pool", p.Name, "jobs", d.takeJobs(p, r))
		return
	}
	p.machine = engine.New(d.now(), engine.Config{
		Pool: p.Name, Token: p.Control.Token, Lease: d.Bounds.MaxLease, FormerLease: d.Bounds.MaxLease + operateBeyond,
		KillGrace: d.Bounds.KillGrace,
	}, r.load.Engaged)
	p.add(engine.QueuesSeen{Queues: p.configuration.Queues})
	jobs := d.takeJobs(p, r)
	p.add(engine.WorkersSeen{Workers: d.registry.pool(p.Name)})
	p.add(d.released())
	d.Log.Info("pool is active", "pool", p.Name, "jobs", jobs, "former_workers", len(r.load.Engaged))
}

// takeJobs tells the machine of the jobs that were read, and returns how many
// these are.
func (d *Duty) takeJobs(p *pool, r loaded) int {
	marks := map[string]*workload.Progress{}
	for _, row := range r.marks {
		progress, err := rows.DecodeProgress(row.Value)
		if err != nil {
			d.Log.Warn("progress can't be read", "row", row.Key, "error", err)
			continue
		}
		marks[row.Key[len(store.PrefixProgress(p.Name)):]] = &progress
	}
	jobs := 0
	for _, row := range r.work {
		jobs += d.takeWork(p, store.Change{Row: row}, marks)
	}
	for _, c := range p.early {
		d.takeWork(p, c, marks)
	}
	p.early = nil
	return jobs
}

// takeWork tells the machine of a row of the work table. It returns 1 for a
// submission to the pool.
func (d *Duty) takeWork(p *pool, c store.Change, marks map[string]*workload.Progress) int {
	if c.Removed {
		return 0
	}
	if id, ok := store.CancelledWork(c.Key); ok {
		p.add(engine.CancelSeen{Job: id})
		return 0
	}
	work, err := rows.DecodeWork(c.Value)
	if err != nil {
		d.Log.Warn("submission can't be read", "row", c.Key, "error", err)
		return 0
	}
	if work.Pool != p.Name {
		return 0
	}
	p.add(engine.JobSeen{Submission: work, Progress: marks[work.ID], Recovered: c.Version < p.Taken && p.Control.Token > 1})
	return 1
}
