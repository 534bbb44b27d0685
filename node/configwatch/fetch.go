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
	// platformFailed: the last call to the platform failed, so a hint is
	// followed to a peer without waiting for another timeout.
	platformFailed bool
}

// run follows a hint to the platform's deltas, which are small, and then to
// the peers, which have the set at hand. Without a hint, or if neither has
// the generation, it reads the platform's head. A process without a
// configuration starts from its peers when the platform is down.
func (f *fetch) run(ctx context.Context) result {
	var hintErr error
	if f.hinted > generationOf(f.current) {
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
	r.platformFailed = !errors.Is(r.err, errObject)
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
		if c, deltaErr = f.fromDeltas(ctx, f.hinted); deltaErr == nil {
			return result{config: c, source: "delta"}
		}
	}
	c, err := f.fromPeers(ctx, f.hinted, "")
	if err != nil {
		return result{err: errors.Join(deltaErr, err)}
	}
	return result{config: c, source: "peer", platformFailed: f.platformFailed || errors.Is(deltaErr, errScan)}
}

// errObject: the head was read, but neither the platform nor a peer gave its set.
var errObject = errors.New("set not available")

// fromPlatform returns no configuration if the head is not newer than the
// current one or does not exist.
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
		return result{err: fmt.Errorf("%w: %w", errObject, errors.Join(err, peerErr))}
	}
	return result{config: c, source: "peer"}
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
