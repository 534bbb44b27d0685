package membership

import (
	"time"
)

// Receive merges a message into the view. The sender counts as alive unless the
// message announces with status Dead that it stops.
func (v *View) Receive(now time.Time, m Message) {
	from := m.From
	if from.Status != Dead {
		from.Status = Alive
	}
	v.merge(now, from)
	for _, u := range m.Updates {
		v.merge(now, u)
	}
}

// Answered records that a member answered a heartbeat, and merges the answer
// into the view.
func (v *View) Answered(now time.Time, m Message) {
	v.improveHealth()
	v.Receive(now, m)
}

// Unanswered records that a heartbeat to a member got no answer. This does not
// change the member's status. While the member is still seen as alive, the fault
// may be in this process, so its local health gets worse.
func (v *View) Unanswered(id string) {
	if p := v.peers[id]; p != nil && p.latest.Status == Alive {
		v.worsenHealth()
	}
}

func (v *View) merge(now time.Time, u Update) {
	if u.Member.ID == "" {
		return
	}
	if u.Member.ID == v.self.Member.ID {
		v.refute(u)
		return
	}
	p := v.peers[u.Member.ID]
	if p == nil && u.Status == Dead {
		return // an unknown member: do not keep its death in circulation
	}
	if p == nil {
		v.peers[u.Member.ID] = &peer{latest: u, lastAliveAt: now, statusChangedAt: now}
		v.version++
		return
	}
	if !supersedes(u, p.latest) {
		return
	}
	if hasLaterBeat(u, p.latest) && u.Status != Dead {
		p.lastAliveAt = now
	}
	if u.Member != p.latest.Member {
		v.version++
	}
	if u.Status != p.latest.Status {
		p.latest = Update{Member: u.Member, Status: p.latest.Status, Beat: u.Beat}
		v.setStatus(now, p, u.Status)
		return
	}
	p.latest = u
}

// refute raises the incarnation of this process above that of an update that
// declares it dead or has a higher incarnation than its own. A suspicion needs
// no refutation, since the next beat ends it.
func (v *View) refute(u Update) {
	self := &v.self.Member
	if u.Member.Incarnation > self.Incarnation || (u.Member.Incarnation == self.Incarnation && u.Status == Dead) {
		self.Incarnation = u.Member.Incarnation + 1
		v.self.Beat++
		v.version++
	}
}

func (v *View) setStatus(now time.Time, p *peer, s Status) {
	p.latest.Status = s
	p.statusChangedAt = now
	p.transmissions = 0
	v.version++
}

// supersedes reports whether a replaces b: the higher incarnation wins, then
// Dead over the other statuses, then the higher beat, then Suspect over Alive.
func supersedes(a, b Update) bool {
	if a.Member.Incarnation != b.Member.Incarnation {
		return a.Member.Incarnation > b.Member.Incarnation
	}
	if (a.Status == Dead) != (b.Status == Dead) {
		return a.Status == Dead
	}
	if a.Beat != b.Beat {
		return a.Beat > b.Beat
	}
	return a.Status > b.Status
}

// hasLaterBeat reports whether a has a higher incarnation than b, or a higher
// beat of the same incarnation.
func hasLaterBeat(a, b Update) bool {
	if a.Member.Incarnation != b.Member.Incarnation {
		return a.Member.Incarnation > b.Member.Incarnation
	}
	return a.Beat > b.Beat
}
