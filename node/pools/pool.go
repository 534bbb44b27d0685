package pools

import (
	"context"
	"errors"
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/lease"
	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// poolState is how far this process owns a pool.
type poolState int

const (
	idle     poolState = iota
	claiming           // the lease is being written
	loading            // the lease is held, the jobs are being read
	active
)

// pool is a pool as this process sees it.
type pool struct {
	name          string
	state         poolState
	jitter        time.Duration
	absent        time.Time // since when the lease row is known not to exist
	retryAt       time.Time // of a claim that failed
	configuration *workload.Configuration

	lease   lease.Held
	version uint64 // of the lease row
	control rows.Control
	former  []engine.Engaged
	taken   uint64 // version of the row with which the lease was taken

	machine   *engine.Machine
	events    []engine.Event // not yet taken in
	early     []store.Change // arrived while the jobs were being read
	batch     *engine.Batch  // being stored
	writing   bool
	lastWrite time.Time
	nextTry   time.Time // of a write that failed
}

// add queues an event for the machine. Without one, its creation tells it all.
func (p *pool) add(e engine.Event) {
	if p.machine != nil {
		p.events = append(p.events, e)
	}
}

// observe compares the lease row with what this process believes.
func (p *pool) observe(seen board.Lease, self string) {
	if p.state == idle || seen.Version <= p.version || seen.Holder == self && seen.Token == p.control.Token {
		return
	}
	if p.state != claiming {
		p.drop()
	}
}

// drop gives the pool up without a trace in the store.
func (p *pool) drop() {
	p.state, p.machine, p.events, p.early, p.batch = idle, nil, nil, nil, nil
	p.lease = lease.Held{}
}

// Results of calls to the store, posted by the pool workers.
type (
	claimed struct {
		pool      string
		control   rows.Control
		former    []engine.Engaged
		requested time.Time
		version   uint64
		err       error
	}
	loaded struct {
		pool  string
		token uint64
		work  []store.Row
		marks []store.Row
		err   error
	}
	written struct {
		pool      string
		control   rows.Control
		requested time.Time
		version   uint64
		err       error
	}
	answered struct {
		pool  string
		token uint64
		event engine.Event
	}
)

// claim writes the lease row in this process's name, if nobody has written it
// since it was seen.
func (d *Duty) claim(ctx context.Context, now time.Time, p *pool) {
	seen, exists := d.view.Leases[p.name]
	next := seen.Control
	next.SetLease(lease.Next(next.Record(), d.Self, leaseTime))
	p.state = claiming
	op := store.Op{Kind: store.OpInsert, Key: store.KeyControl(p.name)}
	if exists {
		op.Kind, op.Expect = store.OpUpdate, seen.Version
	}
	why := "no lease row"
	if exists {
		why = "silent since version " + formatVersion(seen.Version) + " of " + seen.Holder
	}
	d.Log.Info("claiming pool", "pool", p.name, "token", next.Token, "why", why)
	name := p.name
	d.stores.Go(func() {
		r := claimed{pool: name, control: next, former: seen.Engaged, requested: now}
		r.version, r.err = d.commitControl(ctx, next, op, nil)
		d.post(ctx, r)
	})
}

// commitControl writes a lease row and others in one transaction.
func (d *Duty) commitControl(ctx context.Context, c rows.Control, op store.Op, more []store.Op) (uint64, error) {
	var err error
	if op.Value, err = rows.EncodeControl(c); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	versions, err := d.Table.Commit(ctx, append([]store.Op{op}, more...))
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

func (d *Duty) post(ctx context.Context, result any) {
	if err := d.results.Put(ctx, result); err != nil {
		d.Log.Debug("a result came after the end of the duty", "error", err)
	}
}

// own returns the lease row of a conflict if this process wrote it.
func (d *Duty) own(err error, p *pool, token uint64) (rows.Control, uint64, bool) {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return rows.Control{}, 0, false
	}
	for _, r := range conflict.Rows {
		if r.Key != store.KeyControl(p.name) {
			continue
		}
		c, err := rows.DecodeControl(r.Value)
		if err != nil {
			d.Log.Warn("lease row can't be read", "pool", p.name, "error", err)
			return rows.Control{}, 0, false
		}
		return c, r.Version, c.Holder == d.Self && c.Token == token
	}
	return rows.Control{}, 0, false
}

func (d *Duty) takeResult(result any) {
	switch r := result.(type) {
	case claimed:
		d.takeClaim(r)
	case loaded:
		d.takeLoad(r)
	case written:
		d.takeWrite(r)
	case answered:
		if p := d.pools[r.pool]; p.machine != nil && p.control.Token == r.token {
			p.add(r.event)
		}
	}
}

// claimRetry spaces claims of a lease after one that failed.
const claimRetry = 300 * time.Millisecond

func (d *Duty) takeClaim(r claimed) {
	p := d.pools[r.pool]
	if p.state != claiming {
		return
	}
	now := d.now()
	if r.err != nil {
		c, version, mine := d.own(r.err, p, r.control.Token)
		if !mine {
			d.Log.Info("pool was not claimed", "pool", p.name, "error", r.err)
			p.drop()
			p.retryAt = now.Add(claimRetry)
			return
		}
		r.version, r.control = version, c
	}
	d.Log.Info("pool is owned", "pool", p.name, "token", r.control.Token, "version", r.version)
	p.state, p.control, p.version, p.taken = loading, r.control, r.version, r.version
	p.former, p.lastWrite, p.nextTry = r.former, now, time.Time{}
	p.lease = lease.Acquired(r.control.Record(), r.requested)
	p.early = nil
}

// load reads the jobs of a pool that has been taken over.
func (d *Duty) load(ctx context.Context, p *pool) {
	r := loaded{pool: p.name, token: p.control.Token}
	p.nextTry = d.now().Add(loadTimeout)
	d.stores.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		if r.work, _, r.err = d.Feed.Snapshot(callCtx, store.TableWork); r.err == nil {
			r.marks, r.err = store.ScanAll(callCtx, d.Table, store.PrefixProgress(r.pool))
		}
		d.post(ctx, r)
	})
}

func (d *Duty) takeLoad(r loaded) {
	p := d.pools[r.pool]
	if p.state != loading || p.control.Token != r.token {
		return
	}
	if r.err != nil {
		d.Log.Warn("jobs of the pool can't be read", "pool", p.name, "error", r.err)
		p.nextTry = d.now().Add(claimRetry)
		return
	}
	p.state, p.nextTry = active, time.Time{}
	p.machine = engine.New(d.now(), engine.Config{
		Pool: p.name, Token: p.control.Token, Lease: d.Bounds.MaxLease, MaxLease: d.Bounds.MaxLease,
		KillGrace: d.Bounds.KillGrace, GangWait: d.Bounds.GangWait, FarFactor: d.Bounds.FarFactor,
		Early: d.Bounds.Early, AtWork: d.Bounds.AtWork, TailBreach: d.Bounds.TailBreach,
	}, p.former)
	p.add(engine.QueuesSeen{Queues: p.configuration.Queues})
	marks := map[string]*workload.Progress{}
	for _, row := range r.marks {
		progress, err := rows.DecodeProgress(row.Value)
		if err != nil {
			d.Log.Warn("progress can't be read", "row", row.Key, "error", err)
			continue
		}
		marks[row.Key[len(store.PrefixProgress(p.name)):]] = &progress
	}
	jobs := 0
	for _, row := range r.work {
		jobs += d.takeWork(p, store.Change{Row: row}, marks)
	}
	for _, c := range p.early {
		d.takeWork(p, c, marks)
	}
	p.early = nil
	p.add(engine.WorkersSeen{Workers: d.registry.pool(p.name)})
	d.Log.Info("pool is active", "pool", p.name, "jobs", jobs, "former_workers", len(p.former))
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
	if work.Pool != p.name {
		return 0
	}
	p.add(engine.JobSeen{Submission: work, Progress: marks[work.ID], Recovered: c.Version < p.taken && p.control.Token > 1})
	return 1
}
