package configwatch

import (
	"context"
	"errors"
	"fmt"

	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// errNoPeers: the process has no source of configurations besides the platform.
var errNoPeers = errors.New("no peers")

// fetch is one attempt to find a configuration that is newer than current. It
// runs in the pool and changes nothing.
type fetch struct {
	opts    *Options
	current *structs.Config
	hinted  uint64
}

// run asks peers first for a generation that they told of: they have it at
// hand, and the platform is spared the same read from every process. Without
// a hint the platform's head comes first. A process without a configuration
// starts from its peers when the platform is down.
func (f *fetch) run(ctx context.Context) result {
	var hintErr error
	if f.hinted > generationOf(f.current) {
		c, err := f.fromPeers(ctx, f.hinted, "")
		if err == nil {
			return result{config: c, source: "peer"}
		}
		hintErr = err
	}
	c, source, err := f.fromPlatform(ctx)
	if err == nil {
		return result{config: c, source: source}
	}
	if f.current != nil || errors.Is(err, errObject) {
		return result{err: errors.Join(err, hintErr)}
	}
	c, peerErr := f.fromPeers(ctx, 0, "")
	if peerErr != nil {
		return result{err: errors.Join(err, peerErr)}
	}
	return result{config: c, source: "peer"}
}

// errObject: the head was read, but neither the platform nor a peer gave its set.
var errObject = errors.New("set not available")

// fromPlatform returns nil if the head is not newer than the current
// configuration or does not exist.
func (f *fetch) fromPlatform(ctx context.Context) (*structs.Config, string, error) {
	head, err := f.readHead(ctx)
	if errors.Is(err, store.ErrNotFound) {
		return nil, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	if head.Generation <= generationOf(f.current) {
		return nil, "", nil
	}
	if set, err := f.readDeltas(ctx, head); err == nil {
		return &structs.Config{Generation: head.Generation, Hash: head.Hash, Set: set}, "platform (delta)", nil
	}
	set, err := f.readSet(ctx, head)
	if err == nil {
		return &structs.Config{Generation: head.Generation, Hash: head.Hash, Set: set}, "platform", nil
	}
	c, peerErr := f.fromPeers(ctx, head.Generation, head.Hash)
	if peerErr != nil {
		return nil, "", fmt.Errorf("%w: %w", errObject, errors.Join(err, peerErr))
	}
	return c, "peer", nil
}

func (f *fetch) readHead(ctx context.Context) (rows.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
	defer cancel()
	row, err := f.opts.Platform.Get(ctx, store.KeyConfigHead)
	if err != nil {
		return rows.Head{}, fmt.Errorf("read head: %w", err)
	}
	return rows.DecodeHead(row.Value)
}

func (f *fetch) readSet(ctx context.Context, head rows.Head) (structs.ObjectSet, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
	defer cancel()
	data, err := f.opts.Platform.GetObject(ctx, rows.SetObject(head.Hash))
	if err != nil {
		return structs.ObjectSet{}, fmt.Errorf("read set of generation %d: %w", head.Generation, err)
	}
	return rows.DecodeSet(data, head.Hash)
}

// fromPeers fetches a configuration of at least the given generation and
// verifies it. If the exact generation comes with a known hash, the hash must
// be that one.
func (f *fetch) fromPeers(ctx context.Context, generation uint64, hash string) (*structs.Config, error) {
	if f.opts.Peers == nil {
		return nil, errNoPeers
	}
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
	defer cancel()
	c, err := f.opts.Peers.FetchConfig(ctx, generation)
	switch {
	case err != nil:
		return nil, fmt.Errorf("fetch generation %d from peers: %w", generation, err)
	case c == nil || c.Generation < generation:
		return nil, fmt.Errorf("fetch generation %d from peers: older or no configuration", generation)
	case hash != "" && c.Generation == generation && c.Hash != hash:
		return nil, fmt.Errorf("fetch generation %d from peers: hash is %s, want %s", generation, c.Hash, hash)
	}
	return c, rows.VerifyConfig(c)
}
