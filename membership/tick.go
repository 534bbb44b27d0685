package membership

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// tombstonePeriods is how long a dead member is remembered, in multiples of
// RemoveAfter, so that outdated updates do not add it again as alive.
const tombstonePeriods = 12

// Tick runs one round: it increments the beat of this process, updates the
// status of members whose periods have elapsed, and returns the members to
// contact. It must be called every Interval.
func (v *View) Tick(now time.Time) []structs.Member {
	v.adjustForLateTick(now)
	v.self.Beat++
	for _, id := range v.sortedIDs() {
		v.checkTimeouts(now, v.peers[id])
	}
	return v.nextTargets()
}

// adjustForLateTick treats a late call of Tick as a pause of this process. It
// received nothing during the pause, so that time does not count against others.
func (v *View) adjustForLateTick(now time.Time) {
	last := v.lastTick
	v.lastTick = now
	if last.IsZero() || !v.cfg.LocalHealth {
		return
	}
	delay := now.Sub(last) - v.cfg.Interval
	if delay <= v.cfg.Interval/2 {
		return
	}
	v.worsenHealth()
	for _, p := range v.peers {
		p.lastAliveAt = p.lastAliveAt.Add(delay)
		p.statusChangedAt = p.statusChangedAt.Add(delay)
	}
}

func (v *View) checkTimeouts(now time.Time, p *peer) {
	factor := time.Duration(1 + v.healthScore)
	switch p.latest.Status {
	case Alive:
		if now.Sub(p.lastAliveAt) > v.cfg.SuspectAfter*factor {
			v.setStatus(now, p, Suspect)
		}
	case Suspect:
		if now.Sub(p.statusChangedAt) > v.cfg.RemoveAfter*factor {
			v.setStatus(now, p, Dead)
		}
	case Dead:
		if now.Sub(p.statusChangedAt) > v.cfg.RemoveAfter*tombstonePeriods {
			delete(v.peers, p.latest.Member.ID)
		}
	}
}

// nextTargets returns up to Fanout members to contact. It goes through all
// members in a random order that is new in each pass, so that every member is
// contacted within a bounded time.
func (v *View) nextTargets() []structs.Member {
	var out []structs.Member
	picked := map[string]bool{}
	for refilled := false; len(out) < v.cfg.Fanout; {
		if len(v.contactOrder) == 0 {
			if refilled {
				break
			}
			refilled = true
			v.contactOrder = v.sortedIDs()
			v.rng.Shuffle(len(v.contactOrder), func(i, j int) { v.contactOrder[i], v.contactOrder[j] = v.contactOrder[j], v.contactOrder[i] })
			continue
		}
		id := v.contactOrder[0]
		v.contactOrder = v.contactOrder[1:]
		if p := v.peers[id]; p != nil && p.latest.Status != Dead && !picked[id] {
			picked[id] = true
			out = append(out, p.latest.Member)
		}
	}
	return out
}

func (v *View) worsenHealth() {
	if v.cfg.LocalHealth {
		v.healthScore = min(v.healthScore+1, maxHealthScore)
	}
}

func (v *View) improveHealth() { v.healthScore = max(v.healthScore-1, 0) }
