package membership

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// A dead member is remembered for this many removal periods, so that old
// reports of its life do not bring it back.
const tombstonePeriods = 12

// Tick runs one round: it advances the own beat, suspects and removes members,
// and returns the members to contact. It is called every Interval.
func (v *View) Tick(now time.Time) []structs.Member {
	v.noteLateness(now)
	v.self.Beat++
	for _, id := range v.sortedIDs() {
		v.age(now, v.peers[id])
	}
	return v.next()
}

// noteLateness treats a late timer as a pause of this process. Silence of
// others during a pause says nothing about them, so it does not count.
func (v *View) noteLateness(now time.Time) {
	last := v.lastTick
	v.lastTick = now
	if last.IsZero() || !v.cfg.LocalHealth {
		return
	}
	late := now.Sub(last) - v.cfg.Interval
	if late <= v.cfg.Interval/2 {
		return
	}
	v.worsen()
	for _, p := range v.peers {
		p.news = p.news.Add(late)
		p.changed = p.changed.Add(late)
	}
}

func (v *View) age(now time.Time, p *peer) {
	factor := time.Duration(1 + v.health)
	switch p.info.Status {
	case Alive:
		if now.Sub(p.news) > v.cfg.SuspectAfter*factor {
			v.setStatus(now, p, Suspect)
		}
	case Suspect:
		if now.Sub(p.changed) > v.cfg.RemoveAfter*factor {
			v.setStatus(now, p, Dead)
		}
	case Dead:
		if now.Sub(p.changed) > v.cfg.RemoveAfter*tombstonePeriods {
			delete(v.peers, p.info.Member.ID)
		}
	}
}

// next returns up to Fanout members. Each pass over the members is a new
// random order, so that every member is contacted within a bounded time.
func (v *View) next() []structs.Member {
	var out []structs.Member
	picked := map[string]bool{}
	for refilled := false; len(out) < v.cfg.Fanout; {
		if len(v.order) == 0 {
			if refilled {
				break
			}
			refilled = true
			v.order = v.sortedIDs()
			v.rng.Shuffle(len(v.order), func(i, j int) { v.order[i], v.order[j] = v.order[j], v.order[i] })
			continue
		}
		id := v.order[0]
		v.order = v.order[1:]
		if p := v.peers[id]; p != nil && p.info.Status != Dead && !picked[id] {
			picked[id] = true
			out = append(out, p.info.Member)
		}
	}
	return out
}

func (v *View) worsen() {
	if v.cfg.LocalHealth {
		v.health = min(v.health+1, maxHealth)
	}
}

func (v *View) improve() { v.health = max(v.health-1, 0) }
