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

// fetchAttempts is the maximum number of peers that one FetchConfig call asks.
const fetchAttempts = 3

// configTransfer exchanges configurations with peers. Its duty connects the
// configuration duty and the membership duty. FetchConfig is safe for concurrent
// use, because it reads only immutable snapshots.
type configTransfer struct {
	client      *member.Client
	views       viewRings
	configHints *ring.Ring[members.ConfigHint]
	log         hclog.Logger
	watch       *configwatch.Watch
	members     *members.Duty
	latest      *latestViews
}

func newConfigTransfer(c *member.Client, views viewRings, configHints *ring.Ring[members.ConfigHint], latest *latestViews, log hclog.Logger) *configTransfer {
	return &configTransfer{client: c, views: views, configHints: configHints, latest: latest, log: log}
}

// bind sets the duties that run connects. It must be called before run.
func (t *configTransfer) bind(w *configwatch.Watch, m *members.Duty) {
	t.watch, t.members = w, m
}

func (t *configTransfer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-t.views.members.C():
			t.latest.members.Store(v)
		case c := <-t.views.configs.C():
			if err := t.members.SetConfig(ctx, c.Generation, c.Hash); err != nil {
				t.log.Warn("failed to announce configuration to peers", "generation", c.Generation, "error", err)
			}
		case hint := <-t.configHints.C():
			if err := t.watch.Hint(ctx, hint.Generation); err != nil {
				t.log.Debug("dropped configuration hint from peer", "generation", hint.Generation, "error", err)
			}
		case v := <-t.views.fleets.C():
			t.latest.fleet.Store(v)
		}
	}
}

// FetchConfig asks live peers that have at least the given generation, in random
// order. It implements configwatch.PeerSource.
func (t *configTransfer) FetchConfig(ctx context.Context, generation uint64) (*structs.Config, error) {
	peers := t.candidates(generation)
	err := fmt.Errorf("no live peer has generation %d", generation)
	for _, p := range peers[:min(len(peers), fetchAttempts)] {
		var c *structs.Config
		if c, err = t.fetchFrom(ctx, p.Addr); err == nil {
			return c, nil
		}
	}
	return nil, fmt.Errorf("fetch configuration from peers: %w", err)
}

func (t *configTransfer) candidates(generation uint64) []structs.Member {
	view := t.latest.members.Load()
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

func (t *configTransfer) fetchFrom(ctx context.Context, addr string) (*structs.Config, error) {
	blob, err := t.client.FetchConfig(ctx, addr, 0)
	if err != nil {
		return nil, fmt.Errorf("from %s: %w", addr, err)
	}
	configSet, err := rows.DecodeSet(blob.Data, blob.Hash)
	if err != nil {
		return nil, fmt.Errorf("from %s: %w", addr, err)
	}
	return &structs.Config{Generation: blob.Generation, Hash: blob.Hash, Set: configSet}, nil
}

// configSource returns the configuration in force to peers. It implements
// member.ConfigSource.
type configSource struct{ current func() *structs.Config }

// FetchConfig returns the configuration in force if it has the given generation or
// if generation is 0.
func (s configSource) FetchConfig(_ context.Context, generation uint64) (member.ConfigBlob, error) {
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
