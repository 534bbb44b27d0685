package membership

import (
	"testing"
)

// slowRun is what one run of slowObservers measured.
type slowRun struct {
	suspected int // healthy processes seen as suspect, summed over observers and rounds
	removed   int // the same, seen as dead
	detected  int // rounds until all healthy processes saw a real death
}

// slowObservers runs 12 processes for 400 rounds (200 s). Three of them are
// slow: they are paused at random for 4 to 12 s, and lose 85% of their
// messages. Then one healthy process dies.
func slowObservers(seed uint64, health bool) (out slowRun) {
	cfg := testConfig
	cfg.LocalHealth = health
	c := newCluster(seed, 12, cfg)
	c.rounds(20)
	wake := make([]int, len(c.views))
	c.lost = func(from, to int) bool { return max(from, to) >= 9 && c.rng.Float64() < 0.85 }
	for r := range 400 {
		for i := 9; i < 12; i++ {
			switch {
			case c.frozen[i] && r >= wake[i]:
				c.frozen[i] = false
			case !c.frozen[i] && c.rng.IntN(20) == 0:
				c.frozen[i], wake[i] = true, r+8+c.rng.IntN(17)
			}
		}
		c.round()
		out.suspected += c.seenAs(Suspect, 9)
		out.removed += c.seenAs(Dead, 9)
	}
	clear(c.frozen)
	c.stopped[8] = true
	for out.detected < 1000 && !c.allSeeDead(9, c.views[8].Self().ID) {
		c.round()
		out.detected++
	}
	return out
}

// seenAs counts the pairs of a running observer and one of the first n
// processes, all of which run, that the observer sees in the status.
func (c *cluster) seenAs(s Status, n int) int {
	count := 0
	for i, v := range c.views {
		for _, u := range v.All() {
			if c.runs(i) && u.Status == s && u.Member.ID < c.views[n].Self().ID {
				count++
			}
		}
	}
	return count
}

func (c *cluster) allSeeDead(n int, id string) bool {
	for i, v := range c.views[:n] {
		for _, m := range v.Live() {
			if c.runs(i) && m.ID == id {
				return false
			}
		}
	}
	return true
}

// BenchmarkSlowObserver compares the view with and without the local-health
// factor.
func BenchmarkSlowObserver(b *testing.B) {
	for _, mode := range []struct {
		name   string
		health bool
	}{{"plain", false}, {"health", true}} {
		b.Run(mode.name, func(b *testing.B) {
			var sum slowRun
			runs := 0
			for b.Loop() {
				r := slowObservers(uint64(runs), mode.health)
				sum.suspected, sum.removed, sum.detected = sum.suspected+r.suspected, sum.removed+r.removed, sum.detected+r.detected
				runs++
			}
			b.ReportMetric(float64(sum.suspected)/float64(runs), "wrong-suspicions/run")
			b.ReportMetric(float64(sum.removed)/float64(runs), "wrong-removals/run")
			b.ReportMetric(float64(sum.detected)/float64(runs), "rounds-to-detect")
		})
	}
}
