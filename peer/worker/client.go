// Package worker starts and controls tasks on workers over the HTTP form of
// package wire. It implements store.Workers.
//
// Failures follow package store: store.ErrUnavailable means that certainly
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

// New returns a client; it opens connections when they are needed.
func New(o Options) *Client { return &Client{calls: jsoncall.New(o)} }

// Close closes the idle connections.
func (c *Client) Close() { c.calls.Close() }

// ListWorkers returns all workers.
func (c *Client) ListWorkers(ctx context.Context) ([]store.Worker, error) {
	var list []store.Worker
	err := c.calls.Do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodGet, Path: wire.PathWorkers, StatusError: refusal,
		Decode: func(body []byte) error { return json.Unmarshal(body, &list) },
	})
	return list, err
}

// Usage returns a page of the lagging usage report.
func (c *Client) Usage(ctx context.Context, after string, limit int) ([]store.Run, error) {
	var runs []store.Run
	err := c.calls.Do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodGet, Path: wire.PathUsage, StatusError: refusal,
		Args:   [3][2]string{{"after", after}, {"limit", strconv.Itoa(limit)}},
		Decode: func(body []byte) error { return json.Unmarshal(body, &runs) },
	})
	return runs, err
}

// Start starts a task, or returns its run if it was started before with the
// same worker and token.
func (c *Client) Start(ctx context.Context, t store.Task) (store.Run, error) {
	return c.act(ctx, wire.PathStart, t, t.ID, t.Token)
}

// Renew extends the lease to h.Lease from now on.
func (c *Client) Renew(ctx context.Context, h store.Hold) (store.Run, error) {
	return c.act(ctx, wire.PathRenew, wire.Hold{Hold: h}, h.Task, h.Token)
}

// Checkpoint saves the progress for a later run.
func (c *Client) Checkpoint(ctx context.Context, h store.Hold) (store.Run, error) {
	return c.act(ctx, wire.PathCheckpoint, wire.Hold{Hold: h}, h.Task, h.Token)
}

// Throttle gives the task this many processors.
func (c *Client) Throttle(ctx context.Context, h store.Hold, milliCores int) (store.Run, error) {
	return c.act(ctx, wire.PathThrottle, wire.Hold{Hold: h, MilliCores: milliCores}, h.Task, h.Token)
}

// Stop ends the run.
func (c *Client) Stop(ctx context.Context, h store.Hold) (store.Run, error) {
	return c.act(ctx, wire.PathStop, wire.Hold{Hold: h}, h.Task, h.Token)
}

func (c *Client) act(ctx context.Context, path string, body any, task string, token uint64) (store.Run, error) {
	var run store.Run
	err := c.calls.Do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodPost, Path: path, JSON: body, Writes: true, StatusError: refusal,
		Decode: func(answer []byte) error {
			if err := json.Unmarshal(answer, &run); err != nil {
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

// refusal translates an answer other than 200. The status and the code
// decide; a body that does not parse has no code.
func refusal(status int, body []byte, lost error) error {
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
	return fmt.Errorf("%w: status %d: %s", lost, status, p.Error)
}
