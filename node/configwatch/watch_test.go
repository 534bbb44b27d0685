package configwatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/internal/fakestore"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/publication"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// fixedPeer is a PeerSource that always returns the same configuration.
type fixedPeer struct{ config *structs.Config }

func (p *fixedPeer) FetchConfig(context.Context, uint64) (*structs.Config, error) {
	if p.config == nil {
		return nil, errors.New("no configuration")
	}
	return p.config, nil
}

func newConfig(t *testing.T, generation uint64, target int) *structs.Config {
	c := &structs.Config{Generation: generation, Set: structs.ObjectSet{Pools: []structs.Pool{{Name: "umum", Target: target}}}}
	_, hash, err := rows.EncodeSet(&c.Set)
	require.NoError(t, err)
	c.Hash = hash
	return c
}

func publish(t *testing.T, p *fakestore.Platform, c *structs.Config, withObject bool) {
	data, hash, err := rows.EncodeSet(&c.Set)
	require.NoError(t, err)
	if withObject {
		require.NoError(t, p.PutObject(t.Context(), rows.SetObjectName(hash), data))
	}
	head, err := rows.EncodeHead(rows.Head{Generation: c.Generation, Hash: hash})
	require.NoError(t, err)
	_, err = p.Commit(t.Context(), []store.Op{{Kind: store.OpPut, Key: store.KeyConfigHead, Value: head}})
	require.NoError(t, err)
}

type fixture struct {
	*Watch
	platform  *fakestore.Platform
	published *ring.Ring[*structs.Config]
}

func startWatch(t *testing.T, p *fakestore.Platform, peers PeerSource, poll time.Duration) fixture {
	out := ring.New[*structs.Config]("test", 1, ring.KeepNewest)
	pool := pond.NewPool(2, pond.WithQueueSize(4), pond.WithNonBlocking(true))
	w, err := New(Options{
		Platform: p, Peers: peers, PollInterval: poll, Timeout: time.Second, Pool: pool,
		Subscribers: []*ring.Ring[*structs.Config]{out}, Log: hclog.NewNullLogger(), Metrics: metrics.New(),
	})
	require.NoError(t, err)
	s := duty.NewSupervisor()
	s.Add(w.Duty())
	s.Start(t.Context())
	t.Cleanup(func() {
		require.NoError(t, s.Stop(context.Background()))
		pool.StopAndWait()
	})
	return fixture{Watch: w, platform: p, published: out}
}

func (f fixture) nextConfig(t *testing.T) *structs.Config {
	t.Helper()
	select {
	case c := <-f.published.C():
		return c
	case <-time.After(10 * time.Second):
		t.Fatal("no configuration within 10 s")
		return nil
	}
}

func TestAppliesEachPublishedGeneration(t *testing.T) {
	p := fakestore.New(t.Context())
	publish(t, p, newConfig(t, 1, 10), true)
	f := startWatch(t, p, nil, time.Millisecond)
	require.Equal(t, uint64(1), f.nextConfig(t).Generation)
	publish(t, p, newConfig(t, 2, 11), true)
	require.Equal(t, 11, f.nextConfig(t).Set.Pools[0].Target)
	require.Equal(t, uint64(2), f.Current().Generation)
}

// A head with an older generation, for instance after the table was restored from
// a backup, must not replace the configuration in force.
func TestIgnoresOlderGenerations(t *testing.T) {
	p := fakestore.New(t.Context())
	publish(t, p, newConfig(t, 5, 10), true)
	f := startWatch(t, p, &fixedPeer{newConfig(t, 4, 9)}, time.Millisecond)
	require.Equal(t, uint64(5), f.nextConfig(t).Generation)
	publish(t, p, newConfig(t, 3, 8), true)
	reads := p.Reads.Load()
	require.Eventually(t, func() bool { return p.Reads.Load() > reads+3 }, 10*time.Second, time.Millisecond)
	require.NoError(t, f.Hint(t.Context(), 6)) // the peer only has generation 4
	publish(t, p, newConfig(t, 6, 7), true)
	require.Equal(t, uint64(6), f.nextConfig(t).Generation)
}

func TestStartsFromPeerWhenPlatformIsDown(t *testing.T) {
	p := fakestore.New(t.Context())
	p.Down.Store(true)
	f := startWatch(t, p, &fixedPeer{newConfig(t, 3, 10)}, time.Millisecond)
	require.Equal(t, uint64(3), f.nextConfig(t).Generation)
}

// The head can be readable while its object cannot be read. The set must then be
// fetched from a peer.
func TestFetchesSetFromPeerWhenObjectIsMissing(t *testing.T) {
	p := fakestore.New(t.Context())
	publish(t, p, newConfig(t, 2, 10), false)
	f := startWatch(t, p, &fixedPeer{newConfig(t, 2, 10)}, time.Millisecond)
	require.Equal(t, uint64(2), f.nextConfig(t).Generation)
}

// A hint must start a fetch without waiting for the next poll, which is an hour
// away.
func TestHintTriggersFetch(t *testing.T) {
	p := fakestore.New(t.Context())
	publish(t, p, newConfig(t, 1, 10), true)
	source := &fixedPeer{newConfig(t, 2, 11)}
	f := startWatch(t, p, source, time.Hour)
	require.Equal(t, uint64(1), f.nextConfig(t).Generation)
	require.NoError(t, f.Hint(t.Context(), 2))
	require.Equal(t, uint64(2), f.nextConfig(t).Generation)
}

// A set from a peer that does not match its hash must not come into force.
func TestRejectsWrongHash(t *testing.T) {
	bad := newConfig(t, 2, 11)
	bad.Set.Pools[0].Target = 99
	o := Options{Platform: fakestore.New(t.Context()), Peers: &fixedPeer{bad}, Timeout: time.Second}
	f := fetch{opts: &o, hintedGeneration: 2}
	r := f.run(t.Context())
	require.Nil(t, r.config)
	other := fetch{opts: &o}
	_, err := other.fromPeers(t.Context(), 2, "00")
	require.ErrorContains(t, err, "hash")
}

// A small change must be applied through deltas without reading the whole set.
// Deltas whose result does not match the head's hash must not come into force.
func TestAppliesDeltas(t *testing.T) {
	for name, last := range map[string]*structs.Config{"good": newConfig(t, 3, 12), "wrong": newConfig(t, 3, 99)} {
		t.Run(name, func(t *testing.T) {
			p := fakestore.New(t.Context())
			first, second, third := newConfig(t, 1, 10), newConfig(t, 2, 11), newConfig(t, 3, 12)
			for _, step := range [][2]*structs.Config{{first, second}, {second, last}} {
				delta, err := rows.InlineDelta(publication.Diff(&step[0].Set, &step[1].Set))
				require.NoError(t, err)
				value, err := rows.EncodeGeneration(rows.Generation{Hash: step[1].Hash, Delta: delta})
				require.NoError(t, err)
				_, err = p.Commit(t.Context(), []store.Op{
					{Kind: store.OpInsert, Key: store.KeyGeneration(step[1].Generation), Value: value}})
				require.NoError(t, err)
			}
			publish(t, p, third, false) // without the object, so that only the deltas can give the set
			o := Options{Platform: p, Timeout: time.Second}
			f := fetch{opts: &o, current: first}
			r := f.run(t.Context())
			if name == "wrong" {
				require.ErrorIs(t, r.err, errSetUnavailable)
				return
			}
			require.NoError(t, r.err)
			require.Equal(t, third, r.config)
		})
	}
}

// A hint must not wait for the timeout of a platform that is known to be down,
// and must not transfer the whole set while the platform has the delta.
func TestHintUsesDeltaUnlessPlatformFailed(t *testing.T) {
	p := fakestore.New(t.Context())
	first, second := newConfig(t, 1, 10), newConfig(t, 2, 11)
	delta, err := rows.InlineDelta(publication.Diff(&first.Set, &second.Set))
	require.NoError(t, err)
	value, err := rows.EncodeGeneration(rows.Generation{Hash: second.Hash, Delta: delta})
	require.NoError(t, err)
	_, err = p.Commit(t.Context(), []store.Op{{Kind: store.OpInsert, Key: store.KeyGeneration(2), Value: value}})
	require.NoError(t, err)
	o := Options{Platform: p, Peers: &fixedPeer{second}, Timeout: time.Second}
	for _, c := range []struct {
		failed bool
		source string
		reads  int64
	}{{false, "delta", 1}, {true, "peer", 0}} {
		before := p.Reads.Load()
		f := fetch{opts: &o, current: first, hintedGeneration: 2, platformFailed: c.failed}
		r := f.run(t.Context())
		require.NoError(t, r.err)
		require.Equal(t, second, r.config)
		require.Equal(t, c.source, r.source)
		require.Equal(t, c.reads, p.Reads.Load()-before)
	}
}
