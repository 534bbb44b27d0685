// Package member implements the client and the server of the drpc service that
// gateways and controllers offer to each other: heartbeats and the transfer of
// configurations.
package member

import (
	"context"
	"errors"
	"fmt"

	"storj.io/drpc"

	"github.com/carobwharf/carobwharf/membership"
	"github.com/carobwharf/carobwharf/peer/link"
	"github.com/carobwharf/carobwharf/peer/member/memberpb"
)

// MaxConfigSize is the maximum size of an encoded configuration in bytes.
const MaxConfigSize = 4 << 20

// MaxUpdates is the maximum number of updates in one heartbeat that a server
// accepts.
const MaxUpdates = 256

// ErrTooLarge means that a message exceeds MaxConfigSize or MaxUpdates.
var ErrTooLarge = errors.New("message too large")

// ConfigBlob is a configuration in the encoding of the object store.
type ConfigBlob struct {
	Generation uint64
	Hash       string // hex SHA-256 of Data; the receiver verifies it
	Data       []byte
}

// HeartbeatHandler handles heartbeats. It must be safe for concurrent use.
type HeartbeatHandler interface {
	Heartbeat(ctx context.Context, m membership.Message) (membership.Message, error)
}

// ConfigSource returns configurations to peers. It must be safe for concurrent
// use.
type ConfigSource interface {
	// FetchConfig returns the configuration of the given generation, or the
	// newest one if generation is 0.
	FetchConfig(ctx context.Context, generation uint64) (ConfigBlob, error)
}

// Register adds the member service to a server.
func Register(s *link.Server, h HeartbeatHandler, c ConfigSource) error {
	return s.Register(&server{heartbeatHandler: h, configSource: c}, memberpb.DRPCMemberDescription{})
}

type server struct {
	heartbeatHandler HeartbeatHandler
	configSource     ConfigSource
}

func (s *server) Heartbeat(ctx context.Context, in *memberpb.HeartbeatMessage) (*memberpb.HeartbeatMessage, error) {
	if len(in.GetUpdates()) > MaxUpdates {
		return nil, fmt.Errorf("%w: %d updates, at most %d are taken", ErrTooLarge, len(in.GetUpdates()), MaxUpdates)
	}
	out, err := s.heartbeatHandler.Heartbeat(ctx, decodeMessage(in))
	if err != nil {
		return nil, err
	}
	return encodeMessage(out), nil
}

func (s *server) FetchConfig(ctx context.Context, in *memberpb.FetchConfigRequest) (*memberpb.FetchConfigReply, error) {
	blob, err := s.configSource.FetchConfig(ctx, in.GetGeneration())
	if err != nil {
		return nil, err
	}
	if len(blob.Data) > MaxConfigSize {
		return nil, fmt.Errorf("%w: configuration of %d bytes, at most %d are sent", ErrTooLarge, len(blob.Data), MaxConfigSize)
	}
	return &memberpb.FetchConfigReply{Generation: blob.Generation, Hash: blob.Hash, Data: blob.Data}, nil
}

// Client calls other gateways and controllers. Every call ends within the dialer's
// timeout.
type Client struct {
	dialer *link.Dialer
}

// NewClient returns a client that uses the dialer's connections.
func NewClient(d *link.Dialer) *Client { return &Client{dialer: d} }

// Heartbeat sends a heartbeat to the process at addr and returns the reply.
func (c *Client) Heartbeat(ctx context.Context, addr string, m membership.Message) (membership.Message, error) {
	var out *memberpb.HeartbeatMessage
	err := c.dialer.Call(ctx, addr, func(ctx context.Context, conn drpc.Conn) (err error) {
		out, err = memberpb.NewDRPCMemberClient(conn).Heartbeat(ctx, encodeMessage(m))
		return err
	})
	if err != nil {
		return membership.Message{}, fmt.Errorf("heartbeat: %w", err)
	}
	return decodeMessage(out), nil
}

// FetchConfig fetches the configuration of the given generation from the process
// at addr, or the newest one if generation is 0.
func (c *Client) FetchConfig(ctx context.Context, addr string, generation uint64) (ConfigBlob, error) {
	var out *memberpb.FetchConfigReply
	err := c.dialer.Call(ctx, addr, func(ctx context.Context, conn drpc.Conn) (err error) {
		out, err = memberpb.NewDRPCMemberClient(conn).FetchConfig(ctx, &memberpb.FetchConfigRequest{Generation: generation})
		return err
	})
	if err != nil {
		return ConfigBlob{}, fmt.Errorf("fetch configuration of generation %d (0 means the newest): %w", generation, err)
	}
	if len(out.GetData()) > MaxConfigSize {
		return ConfigBlob{}, fmt.Errorf("fetch configuration of generation %d (0 means the newest): %w", generation, ErrTooLarge)
	}
	return ConfigBlob{Generation: out.GetGeneration(), Hash: out.GetHash(), Data: out.GetData()}, nil
}
