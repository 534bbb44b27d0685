package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"
)

// DialerOptions configures a Dialer. Zero values take the defaults.
type DialerOptions struct {
	Timeout time.Duration // of one call, dialing included; default 1 s
	MaxAge  time.Duration // a connection is not used again after this; default 1 min
	Idle    int           // idle connections kept for each address; default 2
}

func (o DialerOptions) withDefaults() DialerOptions {
	if o.Timeout <= 0 {
		o.Timeout = time.Second
	}
	if o.MaxAge <= 0 {
		o.MaxAge = time.Minute
	}
	if o.Idle <= 0 {
		o.Idle = 2
	}
	return o
}

// conn is a pooled connection that knows its age.
type conn struct {
	*drpcconn.Conn
	dialed time.Time
	maxAge time.Duration
}

// Invoke closes the connection after the call if it is too old to be used
// again; the pool drops closed connections.
func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if time.Since(c.dialed) >= c.maxAge {
		_ = c.Close()
	}
	return err
}

// Dialer makes calls over pooled connections. It may be used from many
// goroutines.
type Dialer struct {
	opts DialerOptions
	pool *drpcpool.Pool[string, *conn]
}

// NewDialer returns a Dialer without connections.
func NewDialer(opts DialerOptions) *Dialer {
	opts = opts.withDefaults()
	return &Dialer{
		opts: opts,
		pool: drpcpool.New[string, *conn](drpcpool.Options{Expiration: opts.MaxAge, KeyCapacity: opts.Idle}),
	}
}

// Close closes the idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

// Call runs one call against addr (IP:port) within the dialer's timeout, or
// within ctx if that ends sooner. After a missed deadline all idle
// connections to addr are dropped: they may be as silent as the one that was
// used, while a new connection works.
func (d *Dialer) Call(ctx context.Context, addr string, call func(context.Context, drpc.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timeout)
	defer cancel()
	err := call(ctx, d.pool.Get(ctx, addr, d.dial))
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrUnreachable):
		return err
	case ctx.Err() != nil:
		d.dropIdle(addr)
		return fmt.Errorf("%w: %s", ErrTimeout, addr)
	default:
		return fmt.Errorf("%w: %s: %v", ErrFailed, addr, err)
	}
}

func (d *Dialer) dropIdle(addr string) {
	for {
		c, ok := d.pool.Take(addr)
		if !ok {
			return
		}
		_ = c.Close()
	}
}

func (d *Dialer) dial(ctx context.Context, addr string) (*conn, error) {
	var dialer net.Dialer
	tr, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnreachable, err)
	}
	return &conn{
		Conn:   drpcconn.NewWithOptions(tr, drpcconn.Options{Manager: managerOptions()}),
		dialed: time.Now(),
		maxAge: d.opts.MaxAge,
	}, nil
}

// managerOptions leaves SoftCancel off, so that a call that misses its
// deadline closes its connection.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage}}
}
