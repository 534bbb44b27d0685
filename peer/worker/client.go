// Package worker starts and controls tasks on workers over the HTTP API of
// package wire. It implements store.Workers.
//
// Errors are those of package store: store.ErrUnavailable means that certainly
// nothing changed. After store.ErrUnknown the caller repeats the call with the
// same token, which is idempotent, or reads the usage report.
package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/jsoncall"
	"github.com/carobwharf/carobwharf/peer/worker/wire"
	"github.com/carobwharf/carobwharf/store"
)

// Options configures New.
type Options = jsoncall.Options

// Client calls workers. It is safe for concurrent use.
type Client struct {
	calls *jsoncall.Client
}

var _ store.Workers = (*Client)(nil)

// New returns a client. Connections are opened on demand.
func New(o Options) *Client { return &Client{calls: jsoncall.New(o)} }

// Close closes the idle connections.
func (c *Client) Close() { c.calls.Close() }

// ListWorkers returns all workers.
func (c *Client) ListWorkers(ctx context.Context) ([]store.Worker, error) {
	var list []store.Worker
	err := c.calls.Do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodGet, Path: wire.PathWorkers, StatusError: statusError,
		Decode: func(body []byte) error { return json.Unmarshal(body, &list) },
	})
	return list, err
}

// Usage returns a page of the usage report, which lags behind the actual state.
func (c *Client) Usage(ctx context.Context, after string, limit int) ([]store.Run, error) {
	var runs []store.Run
	err := c.calls.Do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodGet, Path: wire.PathUsage, StatusError: statusError,
		Args:   [3][2]string{{"after", after}, {"limit", strconv.Itoa(limit)}},
		Decode: func(body []byte) error { return json.Unmarshal(body, &runs) },
	})
	return runs, err
}

// Start starts a task, or returns its run if it was started before with the
// same worker and token.
func (c *Client) Start(ctx context.Context, t store.Task) (store.Run, error) {
	return c.post(ctx, wire.PathStart, t, t.ID, t.Token)
}

// Renew extends the lease to h.Lease from now.
func (c *Client) Renew(ctx context.Context, h store.Hold) (store.Run, error) {
	return c.post(ctx, wire.PathRenew, wire.Hold{Hold: h}, h.Task, h.Token)
}

// Checkpoint saves the progress of the task for a later run.
func (c *Client) Checkpoint(ctx context.Context, h store.Hold) (store.Run, error) {
	return c.post(ctx, wire.PathCheckpoint, wire.Hold{Hold: h}, h.Task, h.Token)
}

// Throttle limits the task to milliCores thousandths of a core.
func (c *Client) Throttle(ctx context.Context, h store.Hold, milliCores int) (store.Run, error) {
	return c.post(ctx, wire.PathThrottle, wire.Hold{Hold: h, MilliCores: milliCores}, h.Task, h.Token)
}

// Stop ends the run.
func (c *Client) Stop(ctx context.Context, h store.Hold) (store.Run, error) {
	return c.post(ctx, wire.PathStop, wire.Hold{Hold: h}, h.Task, h.Token)
}

func (c *Client) post(ctx context.Context, path string, body any, task string, token uint64) (store.Run, error) {
	var run store.Run
	err := c.calls.Do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodPost, Path: path, JSON: body, Writes: true, StatusError: statusError,
		Decode: func(response []byte) error {
			if err := json.Unmarshal(response, &run); err != nil {
				return err
			}
			if run.Task != task || run.Token != token {
				return fmt.Errorf("asked for task %q with token %d, got %q with %d", task, token, run.Task, run.Token)
			}
			return nil
		},
	})
	if err != nil {
		return store.Run{}, err
	}
	return run, nil
}

// statusError returns the error for a status other than 200. It depends on the
// status and the code in the body; a body that can't be parsed has no code.
func statusError(status int, body []byte, fallback error) error {
	var p wire.Problem
	_ = json.Unmarshal(body, &p)
	switch status {
	case fasthttp.StatusNotFound:
		return store.ErrNotFound
	case fasthttp.StatusTooManyRequests:
		return fmt.Errorf("%w: %s", store.ErrThrottled, p.Error)
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusBadRequest:
		return fmt.Errorf("%w: status %d: %s", store.ErrUnavailable, status, p.Error)
	case fasthttp.StatusConflict:
		switch p.Code {
		case wire.CodeFenced:
			return store.ErrFenced
		case wire.CodeNoRoom:
			return store.ErrNoRoom
		case wire.CodeNeverFits:
			return store.ErrNeverFits
		}
	}
	return fmt.Errorf("%w: status %d: %s", fallback, status, p.Error)
}
