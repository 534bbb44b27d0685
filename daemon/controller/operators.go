package controller

import (
	"context"
	"errors"
	"fmt"

	"github.com/carobwharf/carobwharf/configcheck"
	"github.com/carobwharf/carobwharf/daemon/controller/publisher"
	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/publication"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// operatorAPI serves the operators' API. It has no state of its own: it
// passes each call to a duty or to the goroutine pool and waits for the reply.
type operatorAPI struct{ c *Controller }

// Submit passes the set to the publisher and waits for the result.
func (o operatorAPI) Submit(ctx context.Context, r operator.SubmitRequest) (operator.SubmitReply, error) {
	reply := make(chan publisher.Reply, 1)
	err := o.c.publisher.Submit(ctx, publisher.Submission{ID: r.ID, Base: r.Base, Set: r.Set, Reply: reply})
	if err != nil {
		return operator.SubmitReply{}, submitError(err)
	}
	select {
	case result := <-reply:
		return operator.SubmitReply(result.Result), submitError(result.Err)
	case <-ctx.Done():
		return operator.SubmitReply{}, submitError(publisher.ErrOutcomeUnknown)
	}
}

// submitErrorCodes maps the errors of a submission to the codes of the
// operators' API.
var submitErrorCodes = []struct {
	err  error
	code operator.Code
}{
	{publisher.ErrBusy, operator.CodeBusy},
	{publisher.ErrContended, operator.CodeBusy},
	{publisher.ErrOutcomeUnknown, operator.CodeUnknown},
	{publisher.ErrPlatform, operator.CodeUnavailable},
	{publisher.ErrBaseUnknown, operator.CodeNotFound},
	{publisher.ErrIDReused, operator.CodeBadRequest},
	{publisher.ErrBadID, operator.CodeBadRequest},
	{publication.ErrFutureBase, operator.CodeBadRequest},
}

func submitError(err error) error {
	if err == nil {
		return nil
	}
	var conflict *publication.Conflict
	if errors.As(err, &conflict) {
		return &operator.Error{Code: operator.CodeConflict, Message: err.Error(), Objects: conflict.Objects}
	}
	var rejected *publisher.Rejected
	if errors.As(err, &rejected) {
		return &operator.Error{Code: operator.CodeInvalid, Message: err.Error(), Findings: toOperatorFindings(rejected.Findings)}
	}
	for _, known := range submitErrorCodes {
		if errors.Is(err, known.err) {
			return &operator.Error{Code: known.code, Message: err.Error()}
		}
	}
	return &operator.Error{Code: operator.CodeInternal, Message: err.Error()}
}

func toOperatorFindings(list []configcheck.Finding) []operator.Finding {
	out := make([]operator.Finding, len(list))
	for i, f := range list {
		out[i] = operator.Finding{Field: f.Field, Problem: f.Problem}
		if f.Object.Kind != "" {
			out[i].Object = f.Object.String()
		}
	}
	return out
}

// Check validates a set in the same way as a submission.
func (o operatorAPI) Check(_ context.Context, r operator.CheckRequest) (operator.CheckReply, error) {
	return operator.CheckReply{Findings: toOperatorFindings(configcheck.Check(&r.Set))}, nil
}

// Config returns the configuration in force in this process.
func (o operatorAPI) Config(context.Context) (*structs.Config, error) {
	if c := o.c.config.Current(); c != nil {
		return c, nil
	}
	return nil, &operator.Error{Code: operator.CodeNotFound, Message: "no configuration is in force"}
}

// Diff returns the difference between two generations.
func (o operatorAPI) Diff(ctx context.Context, r operator.DiffRequest) (operator.DiffReply, error) {
	to, err := o.Config(ctx)
	if err != nil {
		return operator.DiffReply{}, err
	}
	if r.To != 0 && r.To != to.Generation {
		if to, err = o.generation(ctx, r.To); err != nil {
			return operator.DiffReply{}, err
		}
	}
	from, err := o.generation(ctx, r.From)
	if err != nil {
		return operator.DiffReply{}, err
	}
	return operator.DiffReply{From: from.Generation, To: to.Generation, Delta: publication.Diff(&from.Set, &to.Set)}, nil
}

// generation returns the configuration of a generation. Unless it is the
// current one, it is read in the goroutine pool. Generation 0 is empty.
func (o operatorAPI) generation(ctx context.Context, n uint64) (*structs.Config, error) {
	if n == 0 {
		return &structs.Config{}, nil
	}
	if c := o.c.config.Current(); c != nil && c.Generation == n {
		return c, nil
	}
	type result struct {
		config *structs.Config
		err    error
	}
	reply := make(chan result, 1)
	err := o.c.pool.Go(func() {
		config, err := readGeneration(ctx, o.c.opts.Platform, n)
		reply <- result{config, err}
	})
	if err != nil {
		return nil, &operator.Error{Code: operator.CodeBusy, Message: err.Error()}
	}
	select {
	case r := <-reply:
		return r.config, readError(r.err)
	case <-ctx.Done():
		return nil, readError(fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err()))
	}
}

func readGeneration(ctx context.Context, p store.Platform, n uint64) (*structs.Config, error) {
	row, err := p.Get(ctx, store.KeyGeneration(n))
	if err != nil {
		return nil, fmt.Errorf("generation %d: %w", n, err)
	}
	g, err := rows.DecodeGeneration(row.Value)
	if err != nil {
		return nil, err
	}
	data, err := p.GetObject(ctx, rows.SetObjectName(g.Hash))
	if err != nil {
		return nil, fmt.Errorf("set of generation %d: %w", n, err)
	}
	set, err := rows.DecodeSet(data, g.Hash)
	return &structs.Config{Generation: n, Hash: g.Hash, Set: set}, err
}

// readError converts an error of a read from the platform to one of the
// operators' API.
func readError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrNotFound):
		return &operator.Error{Code: operator.CodeNotFound, Message: err.Error()}
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrUnknown):
		return &operator.Error{Code: operator.CodeUnavailable, Message: err.Error()}
	}
	return &operator.Error{Code: operator.CodeInternal, Message: err.Error()}
}

// Drain passes the request to the configured Drainer.
func (o operatorAPI) Drain(ctx context.Context, r operator.DrainRequest) (operator.DrainReply, error) {
	if o.c.opts.Drainer == nil {
		return operator.DrainReply{}, &operator.Error{Code: operator.CodeUnavailable, Message: "this controller drains no VMs"}
	}
	return o.c.opts.Drainer.Drain(ctx, r)
}
