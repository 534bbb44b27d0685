package configwatch

import (
	"context"
	"errors"
	"fmt"

	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// errNoPeers reports that the platform is the only source of configurations.
var errNoPeers = errors.New("no peers to fetch the configuration from")

// fetch is one attempt to find a configuration that is newer than current. It
// runs in the pool and does not change the state of the duty.
type fetch struct {
	opts             *Options
	current          *structs.Config
	hintedGeneration uint64
	// platformFailed is set if the last call to the platform failed. A hinted
	// generation is then fetched from a peer without waiting for another timeout.
	platformFailed bool
}

// run looks for a hinted generation first in the platform's deltas, which are
// small, and then at the peers, which hold the whole set. Without a hint, or if
// neither has the generation, it reads the platform's head. A process without a
// configuration gets it from a peer if the platform is down.
func (f *fetch) run(ctx context.Context) result {
	var hintErr error
	if f.hintedGeneration > generationOf(f.current) {
		r := f.followHint(ctx)
		if r.err == nil {
			return r
		}
		hintErr = r.err
	}
	r := f.fromPlatform(ctx)
	if r.err == nil {
		return r
	}
	r.err = errors.Join(r.err, hintErr)
	r.platformFailed = !errors.Is(r.err, errSetUnavailable)
	if !r.platformFailed || f.current != nil {
		return r
	}
	c, err := f.fromPeers(ctx, 0, "")
	if err != nil {
		return result{err: errors.Join(r.err, err), platformFailed: true}
	}
	return result{config: c, source: "peer", platformFailed: true}
}

func (f *fetch) followHint(ctx context.Context) result {
	deltaErr := errNoDeltas
	if !f.platformFailed {
		var c *structs.Config
		if c, deltaErr = f.fromDeltas(ctx, f.hintedGeneration); deltaErr == nil {
			return result{config: c, source: "delta"}
		}
	}
	c, err := f.fromPeers(ctx, f.hintedGeneration, "")
	if err != nil {
		return result{err: errors.Join(deltaErr, err)}
	}
	return result{config: c, source: "peer", platformFailed: f.platformFailed || errors.Is(deltaErr, errReadGenerations)}
}

// errSetUnavailable reports that the head was read, but that its set could not be
// fetched from the platform or a peer.
var errSetUnavailable = errors.New("object set of the configuration head is not available")

// fromPlatform fetches the configuration that the platform's head refers to. The
// result has no configuration if the head does not exist or is not newer than
// the current configuration.
func (f *fetch) fromPlatform(ctx context.Context) result {
	head, err := f.readHead(ctx)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return result{}
	case err != nil:
		return result{err: err}
	case head.Generation <= generationOf(f.current):
		return result{}
	}
	c, err := f.fromDeltas(ctx, head.Generation)
	if err == nil && (c.Generation > head.Generation || c.Hash == head.Hash) {
		return result{config: c, source: "delta"}
	}
	set, err := f.readSet(ctx, head)
	if err == nil {
		return result{config: &structs.Config{Generation: head.Generation, Hash: head.Hash, Set: set}, source: "platform"}
	}
	c, peerErr := f.fromPeers(ctx, head.Generation, head.Hash)
	if peerErr != nil {
		return result{err: fmt.Errorf("%w: %w", errSetUnavailable, errors.Join(err, peerErr))}
	}
	return result{config: c, source: "peer"}
}

func (f *fetch) readHead(ctx context.Context) (rows.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
	defer cancel()
	row, err := f.opts.Platform.Get(ctx, store.KeyConfigHead)
	if err != nil {
		return rows.Head{}, fmt.Errorf("read configuration head: %w", err)
	}
	return rows.DecodeHead(row.Value)
}

func (f *fetch) readSet(ctx context.Context, head rows.Head) (structs.ObjectSet, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
	defer cancel()
	data, err := f.opts.Platform.GetObject(ctx, rows.SetObjectName(head.Hash))
	if err != nil {
		return structs.ObjectSet{}, fmt.Errorf("read set of generation %d: %w", head.Generation, err)
	}
	return rows.DecodeSet(data, head.Hash)
}

// fromPeers fetches a configuration of at least the given generation from a peer
// and verifies it. If hash is not empty, a configuration of exactly that
// generation must have this hash.
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
		return nil, fmt.Errorf("fetch generation %d from peers: answer has no configuration or an older one", generation)
	case hash != "" && c.Generation == generation && c.Hash != hash:
		return nil, fmt.Errorf("fetch generation %d from peers: hash is %s, want %s", generation, c.Hash, hash)
	}
	return c, rows.VerifyConfig(c)
}
