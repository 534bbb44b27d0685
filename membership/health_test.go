package membership

import (
	"testing"
)

// slowObserverResult holds the measurements of one call of runSlowObservers.
type slowObserverResult struct {
	wrongSuspicions int // healthy processes seen as suspect, summed over observers and rounds
	wrongRemovals   int // healthy processes seen as dead, summed likewise
	detectionRounds int // rounds until all other healthy processes saw a real death
}

// runSlowObservers runs 12 processes for 400 rounds (200 s). Three of them are
// slow: they are paused at random for 4 to 12 s, and lose 85% of their
// messages. Then one healthy process stops.
func runSlowObservers(seed uint64, localHealth bool) (out slowObserverResult) {
	cfg := testConfig
	cfg.LocalHealth = localHealth
	c := newCluster(seed, 12, cfg)
	c.runRounds(20)
	resumeRound := make([]int, len(c.views))
	c.dropMessage = func(from, to int) bool { return max(from, to) >= 9 && c.rng.Float64() < 0.85 }
	for r := range 400 {
		for i := 9; i < 12; i++ {
			switch {
			case c.paused[i] && r >= resumeRound[i]:
				c.paused[i] = false
			case !c.paused[i] && c.rng.IntN(20) == 0:
				c.paused[i], resumeRound[i] = true, r+8+c.rng.IntN(17)
			}
		}
		c.runRound()
		out.wrongSuspicions += c.countSeenAs(Suspect, 9)
		out.wrongRemovals += c.countSeenAs(Dead, 9)
	}
	clear(c.paused)
	c.stopped[8] = true
	for out.detectionRounds < 1000 && !c.allSeeDead(9, c.views[8].Self().ID) {
		c.runRound()
		out.detectionRounds++
	}
	return out
}

// countSeenAs counts the pairs of a running observer and one of the first n
// processes, all of which run, that the observer sees in the status.
func (c *cluster) countSeenAs(s Status, n int) int {
	count := 0
	for i, v := range c.views {
		for _, u := range v.All() {
			if c.running(i) && u.Status == s && u.Member.ID < c.views[n].Self().ID {
				count++
			}
		}
	}
	return count
}

func (c *cluster) allSeeDead(n int, id string) bool {
	for i, v := range c.views[:n] {
		for _, m := range v.Live() {
			if c.running(i) && m.ID == id {
				return false
			}
		}
	}
	return true
}

// BenchmarkSlowObserver compares the failure detection of slow processes with
// and without LocalHealth.
func BenchmarkSlowObserver(b *testing.B) {
	for _, mode := range []struct {
		name   string
		health bool
	}{{"plain", false}, {"health", true}} {
		b.Run(mode.name, func(b *testing.B) {
			var sum slowObserverResult
			runs := 0
			for b.Loop() {
				r := runSlowObservers(uint64(runs), mode.health)
				sum.wrongSuspicions, sum.wrongRemovals, sum.detectionRounds = sum.wrongSuspicions+r.wrongSuspicions, sum.wrongRemovals+r.wrongRemovals, sum.detectionRounds+r.detectionRounds
				runs++
			}
			b.ReportMetric(float64(sum.wrongSuspicions)/float64(runs), "wrong-suspicions/run")
			b.ReportMetric(float64(sum.wrongRemovals)/float64(runs), "wrong-removals/run")
			b.ReportMetric(float64(sum.detectionRounds)/float64(runs), "rounds-to-detect")
		})
	}
}
