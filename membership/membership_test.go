package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobwharf/carobwharf/structs"
)

func ExampleView() {
	now := time.Unix(0, 0)
	cfg := Config{Interval: time.Second, Fanout: 3, SuspectAfter: 3 * time.Second, RemoveAfter: 5 * time.Second, MaxUpdates: 32, MinUpdates: 32}
	rng := rand.New(rand.NewPCG(1, 1))
	a := New(structs.Member{ID: "a", Incarnation: 1}, cfg, rng)
	b := New(structs.Member{ID: "b", Incarnation: 1}, cfg, rng)
	a.Receive(now, b.Message("a"))
	fmt.Println(len(a.Live()))
	for range 10 {
		now = now.Add(time.Second)
		a.Tick(now)
	}
	fmt.Println(len(a.Live()), a.All()[0].Status)
	// Output:
	// 2
	// 1 dead
}

// cluster simulates processes with one view each in virtual time. A message
// arrives in the round in which it is sent, or is lost.
type cluster struct {
	rng         *rand.Rand
	now         time.Time
	cfg         Config
	views       []*View
	paused      []bool
	stopped     []bool
	dropMessage func(from, to int) bool // whether to drop a message in this direction
	lossRate    float64
}

var testConfig = Config{
	Interval: 500 * time.Millisecond, Fanout: 3, SuspectAfter: 3 * time.Second,
	RemoveAfter: 5 * time.Second, MaxUpdates: 64, MinUpdates: 4, LocalHealth: true,
}

func newCluster(seed uint64, n int, cfg Config) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(0, 0), cfg: cfg, dropMessage: func(int, int) bool { return false }}
	for range n {
		c.add(fmt.Sprintf("p%02d", len(c.views)), 1)
	}
	return c
}

func (c *cluster) add(id string, incarnation uint64) {
	addr := fmt.Sprint(len(c.views))
	c.views = append(c.views, New(structs.Member{ID: id, Addr: addr, Incarnation: incarnation}, c.cfg, c.rng))
	c.paused, c.stopped = append(c.paused, false), append(c.stopped, false)
}

func (c *cluster) running(i int) bool { return !c.paused[i] && !c.stopped[i] }

func (c *cluster) runRound() {
	c.now = c.now.Add(c.cfg.Interval)
	for i, v := range c.views {
		if !c.running(i) {
			continue
		}
		for _, t := range v.Tick(c.now) {
			var to int
			if _, err := fmt.Sscan(t.Addr, &to); err == nil {
				c.exchange(i, to, t.ID)
			}
		}
		for to := range min(3, len(c.views)) { // seeds
			if to != i {
				c.exchange(i, to, "")
			}
		}
	}
}

func (c *cluster) exchange(from, to int, id string) {
	a, b := c.views[from], c.views[to]
	dropped := func(x, y int) bool { return c.dropMessage(x, y) || c.rng.Float64() < c.lossRate }
	if dropped(from, to) || !c.running(to) {
		a.Unanswered(id)
		return
	}
	b.Receive(c.now, a.Message(id))
	if dropped(to, from) {
		a.Unanswered(id)
		return
	}
	a.Answered(c.now, b.Message(a.Self().ID))
}

func (c *cluster) runRounds(n int) {
	for range n {
		c.runRound()
	}
}

// checkAgreement returns an error unless every running process sees exactly the
// running processes as live.
func (c *cluster) checkAgreement() error {
	var want []string
	for i, v := range c.views {
		if !c.stopped[i] && !c.paused[i] {
			want = append(want, v.Self().ID)
		}
	}
	slices.Sort(want)
	for i, v := range c.views {
		if !c.running(i) {
			continue
		}
		var have []string
		for _, m := range v.Live() {
			have = append(have, m.ID)
		}
		if !slices.Equal(want, have) {
			return fmt.Errorf("%s sees %v, want %v", v.Self().ID, have, want)
		}
	}
	return nil
}

// Within a bounded time after any sequence of pauses, stops and restarts, every
// view must hold exactly the running processes, including those that resumed
// after a pause.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "n")
		c := newCluster(rapid.Uint64().Draw(t, "seed"), n, testConfig)
		c.lossRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss")
		c.runRounds(20)
		for range rapid.IntRange(1, 4).Draw(t, "events") {
			i := rapid.IntRange(0, n-1).Draw(t, "process")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				c.paused[i] = !c.paused[i]
			case 1:
				c.stopped[i] = true
			case 2: // restart with a higher incarnation
				self := c.views[i].Self()
				self.Incarnation += 5
				c.views[i] = New(self, c.cfg, c.rng)
				c.stopped[i], c.paused[i] = false, false
			}
			c.runRounds(rapid.IntRange(0, 40).Draw(t, "rounds"))
		}
		c.runRounds(150)
		require.NoError(t, c.checkAgreement())
	})
}

// A link that is cut in one direction must not make either of its processes a
// suspect, because others relay their beats.
func TestOneWayLossCausesNoSuspicion(t *testing.T) {
	c := newCluster(1, 5, testConfig)
	c.runRounds(20)
	c.dropMessage = func(from, to int) bool { return from == 3 && to == 4 }
	for range 200 {
		c.runRound()
		require.NoError(t, c.checkAgreement())
		require.Zero(t, c.countSeenAs(Suspect, 4))
	}
}

// A rolling upgrade restarts or replaces every process. Afterwards the views must
// hold only the new processes, with their new incarnations.
func TestRollingReplacement(t *testing.T) {
	c := newCluster(1, 6, testConfig)
	c.runRounds(20)
	for i := range 6 {
		c.stopped[i] = true
		self := c.views[i].Self()
		self.Incarnation = 100
		c.stopped[i] = false
		c.views[i] = New(self, c.cfg, c.rng)
		c.add(fmt.Sprintf("new%02d", i), 1)
		c.runRounds(10)
	}
	for i := 3; i < 6; i++ {
		c.stopped[i] = true
	}
	c.runRounds(60)
	require.NoError(t, c.checkAgreement())
	for _, v := range c.views[:3] {
		require.Equal(t, uint64(100), v.Self().Incarnation)
	}
}

// A message must not have more than MaxUpdates updates in a large cluster.
func TestMessageSizeIsBounded(t *testing.T) {
	cfg := testConfig
	cfg.MaxUpdates = 10
	c := newCluster(1, 60, cfg)
	c.runRounds(40)
	require.NoError(t, c.checkAgreement())
	require.LessOrEqual(t, len(c.views[0].Message("p01").Updates), 10)
}

// A process that was declared dead during a pause must become live again without
// a restart.
func TestPausedMemberRefutesItsDeath(t *testing.T) {
	c := newCluster(1, 4, testConfig)
	c.runRounds(20)
	c.paused[3] = true
	c.runRounds(60)
	require.NoError(t, c.checkAgreement())
	before := c.views[3].Self().Incarnation
	c.paused[3] = false
	c.runRounds(20)
	require.NoError(t, c.checkAgreement())
	require.Greater(t, c.views[3].Self().Incarnation, before)
}

// Dead members must be removed from the views in the end. Otherwise the entries
// of all members that were ever replaced would fill every message.
func TestDeadMembersAreRemoved(t *testing.T) {
	c := newCluster(1, 5, testConfig)
	c.runRounds(20)
	c.stopped[4] = true
	c.runRounds(400)
	for _, v := range c.views[:4] {
		require.Len(t, v.All(), 3)
	}
}
