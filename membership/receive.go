package membership

import (
	"time"
)

// Receive takes in a message. The sender is alive by its own word unless it
// announces its end with status Dead.
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

// Answered records that a member answered a heartbeat, and takes in the
// answer.
func (v *View) Answered(now time.Time, m Message) {
	v.improve()
	v.Receive(now, m)
}

// Unanswered records that a heartbeat to a member had no answer. This is no
// evidence against the member; if others still report it as alive, the fault
// may be with this process, so it counts against local health.
func (v *View) Unanswered(id string) {
	if p := v.peers[id]; p != nil && p.info.Status == Alive {
		v.worsen()
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
		return // a process that never knew the member must not keep the report of its end in circulation
	}
	if p == nil {
		v.peers[u.Member.ID] = &peer{info: u, news: now, changed: now}
		v.version++
		return
	}
	if !newer(u, p.info) {
		return
	}
	if later(u, p.info) && u.Status != Dead {
		p.news = now
	}
	if u.Member != p.info.Member {
		v.version++
	}
	if u.Status != p.info.Status {
		p.info = Update{Member: u.Member, Status: p.info.Status, Beat: u.Beat}
		v.setStatus(now, p, u.Status)
		return
	}
	p.info = u
}

// refute answers a claim that this process is dead, or that a later life of
// it exists, with a higher incarnation. A suspicion needs no answer: the next
// beat ends it.
func (v *View) refute(u Update) {
	self := &v.self.Member
	if u.Member.Incarnation > self.Incarnation || (u.Member.Incarnation == self.Incarnation && u.Status == Dead) {
		self.Incarnation = u.Member.Incarnation + 1
		v.self.Beat++
		v.version++
	}
}

func (v *View) setStatus(now time.Time, p *peer, s Status) {
	p.info.Status = s
	p.changed = now
	p.sent = 0
	v.version++
}

// newer reports whether a supersedes b: by incarnation, then by death, then
// by beat, then by suspicion.
func newer(a, b Update) bool {
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

// later reports whether a shows more life of the member than b.
func later(a, b Update) bool {
	if a.Member.Incarnation != b.Member.Incarnation {
		return a.Member.Incarnation > b.Member.Incarnation
	}
	return a.Beat > b.Beat
}
