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
	Timeout time.Duration // of one call, including the dial; default 1 s
	MaxAge  time.Duration // age after which a connection is not reused; default 1 min
	MaxIdle int           // idle connections kept per address; default 2
}

func (o DialerOptions) withDefaults() DialerOptions {
	if o.Timeout <= 0 {
		o.Timeout = time.Second
	}
	if o.MaxAge <= 0 {
		o.MaxAge = time.Minute
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = 2
	}
	return o
}

// pooledConn is a pooled connection with a maximum age.
type pooledConn struct {
	*drpcconn.Conn
	dialed time.Time
	maxAge time.Duration
}

// Invoke makes a call and then closes the connection if it has reached its
// maximum age. The pool discards closed connections.
func (c *pooledConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if time.Since(c.dialed) >= c.maxAge {
		_ = c.Close()
	}
	return err
}

// Dialer makes calls over pooled connections. It is safe for concurrent use.
type Dialer struct {
	opts DialerOptions
	pool *drpcpool.Pool[string, *pooledConn]
}

// NewDialer returns a Dialer without connections.
func NewDialer(opts DialerOptions) *Dialer {
	opts = opts.withDefaults()
	return &Dialer{
		opts: opts,
		pool: drpcpool.New[string, *pooledConn](drpcpool.Options{Expiration: opts.MaxAge, KeyCapacity: opts.MaxIdle}),
	}
}

// Close closes the idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

// Call runs call on a connection to addr (IP:port) until the dialer's timeout or
// the end of ctx, whichever comes first. If the deadline passes, Call closes all
// idle connections to addr: they may be as dead as the one that was used, while
// a new connection may work.
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
		d.closeIdle(addr)
		return fmt.Errorf("%w: %s", ErrTimeout, addr)
	default:
		return fmt.Errorf("%w: %s: %v", ErrFailed, addr, err)
	}
}

func (d *Dialer) closeIdle(addr string) {
	for {
		c, ok := d.pool.Take(addr)
		if !ok {
			return
		}
		_ = c.Close()
	}
}

func (d *Dialer) dial(ctx context.Context, addr string) (*pooledConn, error) {
	var dialer net.Dialer
	netConn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnreachable, err)
	}
	return &pooledConn{
		Conn:   drpcconn.NewWithOptions(netConn, drpcconn.Options{Manager: managerOptions()}),
		dialed: time.Now(),
		maxAge: d.opts.MaxAge,
	}, nil
}

// managerOptions leaves SoftCancel disabled, so that a call that exceeds its
// deadline closes its connection.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageSize}}
}
