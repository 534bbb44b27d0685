package publisher

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/internal/fakestore"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/publication"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// validSet returns a valid set with one spare pool and two teams.
func validSet(sales, crews int) structs.ObjectSet {
	return structs.ObjectSet{
		Pools: []structs.Pool{{Name: "umum", Spare: true, Target: 10, Spread: structs.DomainRack}},
		Teams: []structs.Team{{Name: "crews", Slots: crews, Weight: 1}, {Name: "sales", Slots: sales, Weight: 1}},
	}
}

// startPublisher runs a publisher until the end of the test.
func startPublisher(t *testing.T, p *fakestore.Platform) *Publisher {
	pool := pond.NewPool(2, pond.WithQueueSize(4), pond.WithNonBlocking(true))
	pub, err := New(Options{
		Platform: p, Timeout: time.Second, Deadline: 10 * time.Second, Pool: pool,
		Current:   func() *structs.Config { return nil },
		Published: func(context.Context, uint64) {},
		Now:       time.Now, Log: hclog.NewNullLogger(), Metrics: metrics.New(),
	})
	require.NoError(t, err)
	s := duty.NewSupervisor()
	s.Add(pub.Duty())
	s.Start(t.Context())
	t.Cleanup(func() {
		require.NoError(t, s.Stop(context.Background()))
		pool.StopAndWait()
	})
	return pub
}

func (p *Publisher) submitAndWait(t *testing.T, id string, base uint64, s structs.ObjectSet) Reply {
	reply := make(chan Reply, 1)
	require.NoError(t, p.Submit(t.Context(), Submission{ID: id, Base: base, Set: s, Reply: reply}))
	select {
	case r := <-reply:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no reply within 10 s")
		return Reply{}
	}
}

func readHead(t *testing.T, p *fakestore.Platform) rows.Head {
	row, err := p.Get(t.Context(), store.KeyConfigHead)
	require.NoError(t, err)
	h, err := rows.DecodeHead(row.Value)
	require.NoError(t, err)
	return h
}

// Guards against wrong decisions for submissions that are based on an old
// generation, repeated, in conflict with another or malformed.
func TestPublishesAndRebases(t *testing.T) {
	p := fakestore.New(t.Context())
	pub := startPublisher(t, p)
	r := pub.submitAndWait(t, "first-00", 0, validSet(1, 1))
	require.NoError(t, r.Err)
	require.Equal(t, uint64(1), r.Result.Generation)
	require.NoError(t, pub.submitAndWait(t, "second-0", 1, validSet(2, 1)).Err)

	other := pub.submitAndWait(t, "third-00", 1, validSet(1, 5)) // based on generation 1, changes only crews
	require.NoError(t, other.Err)
	require.Equal(t, uint64(3), other.Result.Generation)
	require.True(t, other.Result.Rebased)
	require.Equal(t, 3, int(readHead(t, p).Generation))

	same := pub.submitAndWait(t, "fourth-0", 2, validSet(2, 7)) // generation 3 changed crews too
	var conflict *publication.Conflict
	require.ErrorAs(t, same.Err, &conflict)
	require.Equal(t, []structs.Ref{{Kind: structs.KindTeam, Name: "crews"}}, conflict.Objects)

	repeated := pub.submitAndWait(t, "third-00", 1, validSet(1, 5))
	require.NoError(t, repeated.Err)
	require.True(t, repeated.Result.Repeated)
	require.Equal(t, uint64(3), repeated.Result.Generation)
	require.ErrorIs(t, pub.submitAndWait(t, "third-00", 1, validSet(9, 9)).Err, ErrIDReused)
	require.ErrorIs(t, pub.submitAndWait(t, "future-0", 9, validSet(9, 9)).Err, publication.ErrFutureBase)
	require.ErrorIs(t, pub.submitAndWait(t, "x", 3, validSet(9, 9)).Err, ErrBadID)
	require.Equal(t, int64(3), p.Commits.Load())
}

func TestRejectsAnInvalidSet(t *testing.T) {
	p := fakestore.New(t.Context())
	var rejected *Rejected
	require.ErrorAs(t, startPublisher(t, p).submitAndWait(t, "invalid-0", 0, structs.ObjectSet{}).Err, &rejected)
	require.NotEmpty(t, rejected.Findings)
	require.Zero(t, p.Commits.Load())
}

// Guards against a rebased set that is published without a check: two changes
// may be valid each and contradict each other.
func TestRejectsAnInvalidRebase(t *testing.T) {
	p := fakestore.New(t.Context())
	pub := startPublisher(t, p)
	withPool := func(target, minAvailable int) structs.ObjectSet {
		s := validSet(1, 1)
		s.Pools = append([]structs.Pool{{Name: "counter", Target: target, Spread: structs.DomainRack}}, s.Pools...)
		s.Budgets = []structs.Budget{{Name: "b", Pool: "counter", MaxUnavailable: 1, MinAvailable: minAvailable, Survive: structs.DomainNone}}
		return s
	}
	require.NoError(t, pub.submitAndWait(t, "rebase-0", 0, withPool(10, 4)).Err)
	require.NoError(t, pub.submitAndWait(t, "rebase-1", 1, withPool(5, 4)).Err)
	var rejected *Rejected
	require.ErrorAs(t, pub.submitAndWait(t, "rebase-2", 1, withPool(10, 8)).Err, &rejected)
	require.True(t, rejected.Rebased)
}

// Guards against a set that is published twice or not at all after a lost
// answer: a transaction that took effect must be found by its submission's row,
// and one that did not must be repeated.
func TestLostAnswers(t *testing.T) {
	for name, lose := range map[string]func(p *fakestore.Platform){
		"answer": func(p *fakestore.Platform) { p.LoseAnswers.Store(1) },
		"commit": func(p *fakestore.Platform) { p.LoseCommits.Store(1) },
		"object": func(p *fakestore.Platform) { p.LosePuts.Store(2) },
	} {
		t.Run(name, func(t *testing.T) {
			p := fakestore.New(t.Context())
			lose(p)
			r := startPublisher(t, p).submitAndWait(t, "lost-0000", 0, validSet(1, 1))
			require.NoError(t, r.Err)
			require.Equal(t, uint64(1), r.Result.Generation)
			require.Equal(t, int64(1), p.Commits.Load())
		})
	}
}

// Guards against a wrong report after an outage. Before the transaction nothing
// is published; between a lost answer and the next read of the submission's row
// the outcome is unknown, and the error must say so.
func TestOutages(t *testing.T) {
	p := fakestore.New(t.Context())
	pub := startPublisher(t, p)
	p.Down.Store(true)
	require.ErrorIs(t, pub.submitAndWait(t, "outage-0", 0, validSet(1, 1)).Err, ErrPlatform)
	p.Down.Store(false)

	lost := fakestore.New(t.Context())
	lost.LoseCommits.Store(1)
	lost.BeforeCommit = func() { lost.Down.Store(true) }
	pub = startPublisher(t, lost)
	require.ErrorIs(t, pub.submitAndWait(t, "outage-1", 0, validSet(1, 1)).Err, ErrOutcomeUnknown)
	lost.Down.Store(false)
	lost.LoseCommits.Store(0)
	require.ErrorIs(t, pub.submitAndWait(t, "outage-1", 0, validSet(1, 1)).Err, ErrPlatform) // BeforeCommit takes the platform down again
}

// Guards against a change that is lost without a conflict when two controllers
// publish concurrently.
func TestOperatorsRace(t *testing.T) {
	p := fakestore.New(t.Context())
	a, b := startPublisher(t, p), startPublisher(t, p)
	require.NoError(t, a.submitAndWait(t, "race-init", 0, validSet(0, 0)).Err)
	const rounds = 20
	conflicts := make(chan int, 2)
	race := func(pub *Publisher, operator string, change func(i int) structs.ObjectSet) {
		rejected := 0
		for i := 1; i <= rounds; i++ {
			reply := make(chan Reply, 1)
			if err := pub.Submit(t.Context(), Submission{ID: fmt.Sprintf("race-%s-%d", operator, i), Base: 1, Set: change(i), Reply: reply}); err != nil {
				rejected++
				continue
			}
			var conflict *publication.Conflict
			if r := <-reply; errors.As(r.Err, &conflict) {
				rejected++
			}
		}
		conflicts <- rejected
	}
	go race(a, "sales", func(i int) structs.ObjectSet { return validSet(i, 0) })
	go race(b, "crews", func(i int) structs.ObjectSet { return validSet(0, i) })
	// All submissions are based on generation 1, so each operator's first change
	// is published and every later one conflicts with it.
	require.Equal(t, rounds-1, <-conflicts)
	require.Equal(t, rounds-1, <-conflicts)
	h := readHead(t, p)
	require.Equal(t, uint64(3), h.Generation)
	data, err := p.GetObject(t.Context(), rows.SetObjectName(h.Hash))
	require.NoError(t, err)
	got, err := rows.DecodeSet(data, h.Hash)
	require.NoError(t, err)
	require.Equal(t, validSet(1, 1), got)
}

// Guards against a queued submission that gets no reply when the process stops.
func TestStopRefusesQueuedSubmissions(t *testing.T) {
	pub, err := New(Options{Metrics: metrics.New(), Log: hclog.NewNullLogger()})
	require.NoError(t, err)
	reply := make(chan Reply, 1)
	require.NoError(t, pub.Submit(t.Context(), Submission{ID: "queued-0", Reply: reply}))
	pub.stop()
	require.ErrorIs(t, (<-reply).Err, ErrBusy)
	require.ErrorIs(t, pub.Submit(t.Context(), Submission{}), ErrBusy)
}
