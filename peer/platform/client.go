// Package platform is a client of the platform's HTTP API, which package wire
// defines. It implements store.Platform.
//
// A call that certainly changed nothing fails with store.ErrUnavailable: the
// connection was refused, no byte was written, the platform answered 400, 429
// or 503, or the call only reads. A write that failed in any other way may
// have taken effect and fails with store.ErrUnknown.
package platform

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/jsoncall"
	"github.com/carobwharf/carobwharf/peer/platform/wire"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Options configures New.
type Options = jsoncall.Options

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	calls *jsoncall.Client
}

var _ store.Platform = (*Client)(nil)

// New returns a client. Connections are opened on demand.
func New(o Options) *Client { return &Client{calls: jsoncall.New(o)} }

// Close closes the idle connections.
func (c *Client) Close() { c.calls.Close() }

func (c *Client) do(ctx context.Context, call *jsoncall.Call) error {
	call.StatusError = statusError
	return c.calls.Do(ctx, call)
}

// statusError returns the error for a status other than 200. Except for a
// conflict, the kind of error depends only on the status: if the body can't be
// parsed, only the platform's message is missing from the text.
func statusError(status int, body []byte, fallback error) error {
	var p wire.Problem
	parseErr := json.Unmarshal(body, &p)
	switch status {
	case fasthttp.StatusNotFound:
		return store.ErrNotFound
	case fasthttp.StatusConflict:
		if parseErr != nil || len(p.Keys) == 0 {
			return fmt.Errorf("%w: conflict without keys", fallback)
		}
		return &store.ConflictError{Keys: p.Keys}
	case fasthttp.StatusTooManyRequests:
		return fmt.Errorf("%w: %s", store.ErrThrottled, p.Error)
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusBadRequest:
		return fmt.Errorf("%w: status %d: %s", store.ErrUnavailable, status, p.Error)
	}
	return fmt.Errorf("%w: status %d: %s", fallback, status, p.Error)
}

// ListVMs returns the platform's VM list, which lags behind the actual state.
func (c *Client) ListVMs(ctx context.Context) ([]structs.VM, error) {
	var vms []structs.VM
	err := c.do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodGet, Path: wire.PathVMs,
		Decode: func(body []byte) error { return json.Unmarshal(body, &vms) },
	})
	return vms, err
}

// ListVMsSince implements store.TaggedVMs.
func (c *Client) ListVMsSince(ctx context.Context, known string) (vms []structs.VM, tag string, changed bool, err error) {
	var list wire.VMList
	err = c.do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodGet, Path: wire.PathVMs,
		Args:   [3][2]string{{"known", known}},
		Decode: func(body []byte) error { return json.Unmarshal(body, &list) },
	})
	return list.VMs, list.Tag, list.Changed, err
}

// RebootVM starts the reboot of a VM.
func (c *Client) RebootVM(ctx context.Context, id string) error {
	return c.do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodPost, Path: wire.PathReboot, Writes: true,
		Args: [3][2]string{{"id", id}},
	})
}
