package process

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/node/configwatch"
	"github.com/carobwharf/carobwharf/node/members"
	"github.com/carobwharf/carobwharf/peer/member"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/structs"
)

// Peers that are asked for a configuration before the duty waits for its next
// round.
const fetchAttempts = 3

// configTransfer moves configurations between processes. Its duty connects
// the configuration duty with the membership duty; its methods serve and fetch
// encoded sets from any goroutine and read only immutable snapshots.
type configTransfer struct {
	client  *member.Client
	in      views
	news    *ring.Ring[members.ConfigHint]
	log     hclog.Logger
	watch   *configwatch.Watch
	members *members.Duty
	seen    *latest
}

func newConfigTransfer(c *member.Client, in views, news *ring.Ring[members.ConfigHint], seen *latest, log hclog.Logger) *configTransfer {
	return &configTransfer{client: c, in: in, news: news, seen: seen, log: log}
}

// bind sets the duties on both sides; it is called before run.
func (t *configTransfer) bind(w *configwatch.Watch, m *members.Duty) {
	t.watch, t.members = w, m
}

func (t *configTransfer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-t.in.members.C():
			t.seen.members.Store(v)
		case c := <-t.in.configs.C():
			if err := t.members.SetConfig(ctx, c.Generation, c.Hash); err != nil {
				t.log.Warn("generation is not announced", "generation", c.Generation, "error", err)
			}
		case n := <-t.news.C():
			if err := t.watch.Hint(ctx, n.Generation); err != nil {
				t.log.Debug("hint of a peer is dropped", "generation", n.Generation, "error", err)
			}
		case v := <-t.in.fleets.C():
			t.seen.fleet.Store(v)
		}
	}
}

// FetchConfig asks live peers with at least the generation, in random order.
// It implements configwatch.PeerSource.
func (t *configTransfer) FetchConfig(ctx context.Context, generation uint64) (*structs.Config, error) {
	peers := t.candidates(generation)
	err := fmt.Errorf("no live peer has generation %d", generation)
	for _, p := range peers[:min(len(peers), fetchAttempts)] {
		var c *structs.Config
		if c, err = t.fetch(ctx, p.Addr); err == nil {
			return c, nil
		}
	}
	return nil, fmt.Errorf("fetch configuration from peers: %w", err)
}

func (t *configTransfer) candidates(generation uint64) []structs.Member {
	view := t.seen.members.Load()
	if view == nil {
		return nil
	}
	var out []structs.Member
	for _, m := range view.Live {
		if m.ID != view.Self.ID && m.Generation >= max(generation, 1) {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (t *configTransfer) fetch(ctx context.Context, addr string) (*structs.Config, error) {
	blob, err := t.client.FetchConfig(ctx, addr, 0)
	if err != nil {
		return nil, fmt.Errorf("from %s: %w", addr, err)
	}
	set, err := rows.DecodeSet(blob.Data, blob.Hash)
	if err != nil {
		return nil, fmt.Errorf("from %s: %w", addr, err)
	}
	return &structs.Config{Generation: blob.Generation, Hash: blob.Hash, Set: set}, nil
}

// configServer gives the configuration in force to peers.
type configServer struct{ current func() *structs.Config }

// FetchConfig returns the configuration in force if it has the generation; 0
// asks for the newest.
func (s configServer) FetchConfig(_ context.Context, generation uint64) (member.ConfigBlob, error) {
	c := s.current()
	if c == nil || generation != 0 && c.Generation != generation {
		return member.ConfigBlob{}, fmt.Errorf("generation %d is not in force here", generation)
	}
	data, hash, err := rows.EncodeSet(&c.Set)
	if err != nil {
		return member.ConfigBlob{}, fmt.Errorf("encode configuration: %w", err)
	}
	return member.ConfigBlob{Generation: c.Generation, Hash: hash, Data: data}, nil
}
