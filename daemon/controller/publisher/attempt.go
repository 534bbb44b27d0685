package publisher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/configcheck"
	"github.com/carobwharf/carobwharf/publication"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// maxRaces bounds the attempts of one submission against others. At the
// target rate two submissions seldom meet even once.
const maxRaces = 8

// attempt is the work on one submission. It runs in the pool.
type attempt struct {
	opts       *Options
	submission *Submission
	submitted  string // hash of the submitted set
	unsettled  bool   // a commit without an answer may still take effect
}

// run publishes the submission. Each round begins with the submission's row,
// which also settles a commit whose answer was lost; the row's insertion in
// the same transaction lets at most one commit of the submission take effect.
func (a *attempt) run(ctx context.Context) (Result, error) {
	if !validID(a.submission.ID) {
		return Result{}, ErrBadID
	}
	if findings := configcheck.Check(&a.submission.Set); len(findings) > 0 {
		return Result{}, &Rejected{Findings: findings}
	}
	var err error
	if _, a.submitted, err = rows.EncodeSet(&a.submission.Set); err != nil {
		return Result{}, err
	}
	for range maxRaces {
		result, finished, err := a.round(ctx)
		if finished || err != nil {
			return result, a.translate(err)
		}
	}
	if a.unsettled {
		return Result{}, ErrUnsettled
	}
	return Result{}, ErrContended
}

// translate turns the platform's errors into those of this package.
func (a *attempt) translate(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrUnknown),
		errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		if a.unsettled {
			return fmt.Errorf("%w: %w", ErrUnsettled, err)
		}
		return fmt.Errorf("%w: %w", ErrPlatform, err)
	}
	return err
}

// round is one attempt against the present head. It returns finished = false
// if another writer won or the answer was lost.
func (a *attempt) round(ctx context.Context) (result Result, finished bool, err error) {
	if result, finished, err = a.settled(ctx); finished || err != nil {
		return result, finished, err
	}
	head, version, err := a.head(ctx)
	if err != nil {
		return Result{}, false, err
	}
	base, err := a.base(ctx, head)
	if err != nil {
		return Result{}, false, err
	}
	plan, err := publication.Decide(base, head, &a.submission.Set)
	if err != nil {
		return Result{}, false, err
	}
	if plan.Unchanged {
		return Result{Generation: head.Generation, Hash: head.Hash, Rebased: plan.Rebased, Unchanged: true}, true, nil
	}
	if plan.Rebased {
		if findings := configcheck.Check(&plan.Set); len(findings) > 0 {
			return Result{}, false, &Rejected{Findings: findings, Rebased: true}
		}
	}
	return a.publish(ctx, plan, &head.Set, version)
}

// settled reports whether an earlier commit of the submission took effect.
func (a *attempt) settled(ctx context.Context) (Result, bool, error) {
	row, err := a.get(ctx, store.KeySubmission(a.submission.ID))
	if errors.Is(err, store.ErrNotFound) {
		return Result{}, false, nil
	}
	if err != nil {
		return Result{}, false, err
	}
	s, err := rows.DecodeSubmission(row.Value)
	if err != nil {
		return Result{}, false, err
	}
	if s.Submitted != a.submitted || s.Base != a.submission.Base {
		return Result{}, false, ErrIDReused
	}
	return Result{Generation: s.Generation, Hash: s.Hash, Rebased: s.Hash != s.Submitted, Repeated: !a.unsettled}, true, nil
}

// head returns the configuration of the head row and the row's version, 0 if
// there is none yet.
func (a *attempt) head(ctx context.Context) (*structs.Config, uint64, error) {
	row, err := a.get(ctx, store.KeyConfigHead)
	if errors.Is(err, store.ErrNotFound) {
		return &structs.Config{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	h, err := rows.DecodeHead(row.Value)
	if err != nil {
		return nil, 0, err
	}
	c, err := a.config(ctx, h.Generation, h.Hash)
	return c, row.Version, err
}

// base returns the configuration that the submission was made from.
func (a *attempt) base(ctx context.Context, head *structs.Config) (*structs.Config, error) {
	n := a.submission.Base
	switch {
	case n == head.Generation:
		return head, nil
	case n == 0 || n > head.Generation:
		return &structs.Config{Generation: n}, nil
	}
	row, err := a.get(ctx, store.KeyGeneration(n))
	if errors.Is(err, store.ErrNotFound) {
		return nil, fmt.Errorf("%w: %d", ErrBaseUnknown, n)
	}
	if err != nil {
		return nil, err
	}
	g, err := rows.DecodeGeneration(row.Value)
	if err != nil {
		return nil, err
	}
	return a.config(ctx, n, g.Hash)
}

func (a *attempt) config(ctx context.Context, generation uint64, hash string) (*structs.Config, error) {
	if c := a.opts.Current(); c != nil && c.Hash == hash {
		return &structs.Config{Generation: generation, Hash: hash, Set: c.Set}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.opts.Timeout)
	defer cancel()
	data, err := a.opts.Platform.GetObject(ctx, rows.SetObject(hash))
	if err != nil {
		return nil, fmt.Errorf("read set of generation %d: %w", generation, err)
	}
	set, err := rows.DecodeSet(data, hash)
	return &structs.Config{Generation: generation, Hash: hash, Set: set}, err
}

func (a *attempt) get(ctx context.Context, key string) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.Timeout)
	defer cancel()
	return a.opts.Platform.Get(ctx, key)
}

// publish writes the set's object and then moves the head from previous.
func (a *attempt) publish(ctx context.Context, plan publication.Plan, previous *structs.ObjectSet, headVersion uint64) (Result, bool, error) {
	data, hash, err := rows.EncodeSet(&plan.Set)
	if err != nil {
		return Result{}, false, err
	}
	switch err := a.putObject(ctx, rows.SetObject(hash), data); {
	case errors.Is(err, store.ErrUnknown):
		return Result{}, false, nil // the object may be written again: its name is its hash
	case err != nil:
		return Result{}, false, err
	}
	delta, err := rows.InlineDelta(publication.Diff(previous, &plan.Set))
	if err != nil {
		return Result{}, false, err
	}
	ops, err := a.transaction(plan.Generation, hash, delta, headVersion)
	if err != nil {
		return Result{}, false, err
	}
	var conflict *store.ConflictError
	switch err := a.commit(ctx, ops); {
	case err == nil:
		return Result{Generation: plan.Generation, Hash: hash, Rebased: plan.Rebased}, true, nil
	case errors.As(err, &conflict):
		return Result{}, false, nil
	case errors.Is(err, store.ErrUnavailable):
		return Result{}, false, err
	default:
		// The answer was lost, or the call ended without one.
		a.unsettled = true
		a.opts.Log.Warn("answer of the head's update lost", "submission", a.submission.ID, "error", err)
		return Result{}, false, nil
	}
}

func (a *attempt) putObject(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, a.opts.Timeout)
	defer cancel()
	if err := a.opts.Platform.PutObject(ctx, name, data); err != nil {
		return fmt.Errorf("write set: %w", err)
	}
	return nil
}

func (a *attempt) commit(ctx context.Context, ops []store.Op) error {
	ctx, cancel := context.WithTimeout(ctx, a.opts.Timeout)
	defer cancel()
	_, err := a.opts.Platform.Commit(ctx, ops)
	return err
}

// transaction moves the head and records the submission and the generation.
func (a *attempt) transaction(generation uint64, hash string, delta *publication.Delta, headVersion uint64) ([]store.Op, error) {
	now := a.opts.Now().UTC().Truncate(time.Millisecond)
	head, err1 := rows.EncodeHead(rows.Head{Generation: generation, Hash: hash,
		Base: a.submission.Base, Submission: a.submission.ID, Time: now})
	submission, err2 := rows.EncodeSubmission(rows.Submission{Generation: generation, Hash: hash,
		Submitted: a.submitted, Base: a.submission.Base, Time: now})
	record, err3 := rows.EncodeGeneration(rows.Generation{Hash: hash, Submission: a.submission.ID, Time: now, Delta: delta})
	headOp := store.Op{Kind: store.OpUpdate, Key: store.KeyConfigHead, Expect: headVersion, Value: head}
	if headVersion == 0 {
		headOp.Kind = store.OpInsert
	}
	return []store.Op{
		headOp,
		{Kind: store.OpInsert, Key: store.KeySubmission(a.submission.ID), Value: submission},
		{Kind: store.OpInsert, Key: store.KeyGeneration(generation), Value: record},
	}, errors.Join(err1, err2, err3)
}
