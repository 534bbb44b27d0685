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

// maxAttempts is the maximum number of attempts for one submission. An attempt
// is repeated after a concurrent update of the head or a lost answer. At the
// target rate even one concurrent update is rare.
const maxAttempts = 8

// submissionTask publishes one submission. It runs in the pool.
type submissionTask struct {
	opts           *Options
	submission     *Submission
	submitted      string // hash of the submitted set
	outcomeUnknown bool   // a transaction without an answer may take effect or have done so
}

// run publishes the submission. Each attempt first reads the submission's row,
// which also shows whether a transaction whose answer was lost took effect. The
// transaction inserts that row, so at most one transaction of the submission can
// take effect.
func (t *submissionTask) run(ctx context.Context) (Result, error) {
	if !validID(t.submission.ID) {
		return Result{}, ErrBadID
	}
	if findings := configcheck.Check(&t.submission.Set); len(findings) > 0 {
		return Result{}, &Rejected{Findings: findings}
	}
	var err error
	if _, t.submitted, err = rows.EncodeSet(&t.submission.Set); err != nil {
		return Result{}, err
	}
	for range maxAttempts {
		result, finished, err := t.attempt(ctx)
		if finished || err != nil {
			return result, t.wrapError(err)
		}
	}
	if t.outcomeUnknown {
		return Result{}, ErrOutcomeUnknown
	}
	return Result{}, ErrContended
}

// wrapError wraps errors of the platform in ErrPlatform or, if a transaction may
// have taken effect, in ErrOutcomeUnknown.
func (t *submissionTask) wrapError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrUnknown),
		errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		if t.outcomeUnknown {
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		return fmt.Errorf("%w: %w", ErrPlatform, err)
	}
	return err
}

// attempt tries once to publish the submission on top of the current head. It
// returns finished = false if another writer updated the head first or the answer
// was lost.
func (t *submissionTask) attempt(ctx context.Context) (result Result, finished bool, err error) {
	if result, finished, err = t.findPublished(ctx); finished || err != nil {
		return result, finished, err
	}
	head, version, err := t.readHead(ctx)
	if err != nil {
		return Result{}, false, err
	}
	base, err := t.readBase(ctx, head)
	if err != nil {
		return Result{}, false, err
	}
	plan, err := publication.Decide(base, head, &t.submission.Set)
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
	return t.publish(ctx, plan, &head.Set, version)
}

// findPublished returns the result of the submission if a transaction of it has
// taken effect, and whether one has.
func (t *submissionTask) findPublished(ctx context.Context) (Result, bool, error) {
	row, err := t.readRow(ctx, store.KeySubmission(t.submission.ID))
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
	if s.Submitted != t.submitted || s.Base != t.submission.Base {
		return Result{}, false, ErrIDReused
	}
	return Result{Generation: s.Generation, Hash: s.Hash, Rebased: s.Hash != s.Submitted, Repeated: !t.outcomeUnknown}, true, nil
}

// readHead returns the head's configuration and the version of the head's row,
// which is 0 if there is no row yet.
func (t *submissionTask) readHead(ctx context.Context) (*structs.Config, uint64, error) {
	row, err := t.readRow(ctx, store.KeyConfigHead)
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
	c, err := t.readConfig(ctx, h.Generation, h.Hash)
	return c, row.Version, err
}

// readBase returns the configuration that the submission is based on. It has no
// set if the base is generation 0 or newer than the head.
func (t *submissionTask) readBase(ctx context.Context, head *structs.Config) (*structs.Config, error) {
	n := t.submission.Base
	switch {
	case n == head.Generation:
		return head, nil
	case n == 0 || n > head.Generation:
		return &structs.Config{Generation: n}, nil
	}
	row, err := t.readRow(ctx, store.KeyGeneration(n))
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
	return t.readConfig(ctx, n, g.Hash)
}

// readConfig returns a generation's configuration. It reads the set from the
// object store unless the process's own configuration has the same hash.
func (t *submissionTask) readConfig(ctx context.Context, generation uint64, hash string) (*structs.Config, error) {
	if c := t.opts.Current(); c != nil && c.Hash == hash {
		return &structs.Config{Generation: generation, Hash: hash, Set: c.Set}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, t.opts.Timeout)
	defer cancel()
	data, err := t.opts.Platform.GetObject(ctx, rows.SetObjectName(hash))
	if err != nil {
		return nil, fmt.Errorf("read set of generation %d: %w", generation, err)
	}
	set, err := rows.DecodeSet(data, hash)
	return &structs.Config{Generation: generation, Hash: hash, Set: set}, err
}

func (t *submissionTask) readRow(ctx context.Context, key string) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.Timeout)
	defer cancel()
	return t.opts.Platform.Get(ctx, key)
}

// publish writes the set to the object store and then updates the head, whose
// set is previous.
func (t *submissionTask) publish(ctx context.Context, plan publication.Plan, previous *structs.ObjectSet, headVersion uint64) (Result, bool, error) {
	data, hash, err := rows.EncodeSet(&plan.Set)
	if err != nil {
		return Result{}, false, err
	}
	switch err := t.putObject(ctx, rows.SetObjectName(hash), data); {
	case errors.Is(err, store.ErrUnknown):
		return Result{}, false, nil // writing it again is safe, because its name is its hash
	case err != nil:
		return Result{}, false, err
	}
	delta, err := rows.InlineDelta(publication.Diff(previous, &plan.Set))
	if err != nil {
		return Result{}, false, err
	}
	ops, err := t.transaction(plan.Generation, hash, delta, headVersion)
	if err != nil {
		return Result{}, false, err
	}
	var conflict *store.ConflictError
	switch err := t.commit(ctx, ops); {
	case err == nil:
		return Result{Generation: plan.Generation, Hash: hash, Rebased: plan.Rebased}, true, nil
	case errors.As(err, &conflict):
		return Result{}, false, nil
	case errors.Is(err, store.ErrUnavailable):
		return Result{}, false, err
	default:
		// The answer was lost or the call timed out.
		t.outcomeUnknown = true
		t.opts.Log.Warn("no answer to the update of the configuration head; checking whether it took effect", "submission", t.submission.ID, "error", err)
		return Result{}, false, nil
	}
}

func (t *submissionTask) putObject(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, t.opts.Timeout)
	defer cancel()
	if err := t.opts.Platform.PutObject(ctx, name, data); err != nil {
		return fmt.Errorf("write set: %w", err)
	}
	return nil
}

func (t *submissionTask) commit(ctx context.Context, ops []store.Op) error {
	ctx, cancel := context.WithTimeout(ctx, t.opts.Timeout)
	defer cancel()
	_, err := t.opts.Platform.Commit(ctx, ops)
	return err
}

// transaction returns the operations that update the head and insert the rows
// of the submission and the generation.
func (t *submissionTask) transaction(generation uint64, hash string, delta *publication.Delta, headVersion uint64) ([]store.Op, error) {
	now := t.opts.Now().UTC().Truncate(time.Millisecond)
	head, err1 := rows.EncodeHead(rows.Head{Generation: generation, Hash: hash,
		Base: t.submission.Base, Submission: t.submission.ID, Time: now})
	submission, err2 := rows.EncodeSubmission(rows.Submission{Generation: generation, Hash: hash,
		Submitted: t.submitted, Base: t.submission.Base, Time: now})
	record, err3 := rows.EncodeGeneration(rows.Generation{Hash: hash, Submission: t.submission.ID, Time: now, Delta: delta})
	headOp := store.Op{Kind: store.OpUpdate, Key: store.KeyConfigHead, Expect: headVersion, Value: head}
	if headVersion == 0 {
		headOp.Kind = store.OpInsert
	}
	return []store.Op{
		headOp,
		{Kind: store.OpInsert, Key: store.KeySubmission(t.submission.ID), Value: submission},
		{Kind: store.OpInsert, Key: store.KeyGeneration(generation), Value: record},
	}, errors.Join(err1, err2, err3)
}
