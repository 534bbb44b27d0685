package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

type peer struct {
	info    Update
	news    time.Time // last time that evidence of life arrived
	changed time.Time // last change of status
	sent    int       // messages that carried the current status
}

// View is one process's view of all processes.
type View struct {
	cfg      Config
	self     Update
	hash     string
	peers    map[string]*peer
	rng      *rand.Rand
	order    []string // members left in the current pass of contacts
	health   int
	lastTick time.Time
	version  uint64
}

// New returns a view that knows only self. The incarnation of self must be
// higher than that of earlier processes with the same ID.
func New(self structs.Member, cfg Config, rng *rand.Rand) *View {
	return &View{cfg: cfg, self: Update{Member: self}, peers: map[string]*peer{}, rng: rng, version: 1}
}

// SetConfig records the configuration in force in this process.
func (v *View) SetConfig(generation uint64, hash string) {
	if v.self.Member.Generation != generation {
		v.self.Member.Generation, v.hash = generation, hash
		v.version++
	}
}

// Self returns the own entry.
func (v *View) Self() structs.Member { return v.self.Member }

// Version grows with each change of Live's result.
func (v *View) Version() uint64 { return v.version }

// Health returns the local-health score: 0 is healthy.
func (v *View) Health() int { return v.health }

// Live returns self and all members that are not dead, sorted by ID.
func (v *View) Live() []structs.Member {
	out := []structs.Member{v.self.Member}
	for _, p := range v.peers {
		if p.info.Status != Dead {
			out = append(out, p.info.Member)
		}
	}
	slices.SortFunc(out, func(a, b structs.Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// All returns an update for each known member but self, sorted by ID.
func (v *View) All() []Update {
	out := make([]Update, 0, len(v.peers))
	for _, p := range v.peers {
		out = append(out, p.info)
	}
	slices.SortFunc(out, func(a, b Update) int { return strings.Compare(a.Member.ID, b.Member.ID) })
	return out
}

// Message returns what to tell the member with the given ID (empty if it is
// not known). It holds at most MaxUpdates updates: first the member's own
// entry if the member is not seen as alive, so that it can refute; then the
// status changes told least often; then others at random, as far as there are
// not more than Relayed in all.
func (v *View) Message(to string) Message {
	m := Message{From: v.self, ConfigHash: v.hash}
	rest := make([]*peer, 0, len(v.peers))
	for _, id := range v.sortedIDs() {
		p := v.peers[id]
		switch {
		case id != to:
			rest = append(rest, p)
		case p.info.Status != Alive:
			m.Updates = append(m.Updates, p.info)
		}
	}
	v.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	limit := v.retransmit()
	slices.SortStableFunc(rest, func(a, b *peer) int { return min(a.sent, limit) - min(b.sent, limit) })
	for i, p := range rest {
		if len(m.Updates) >= v.cfg.MaxUpdates || (p.sent >= limit && i >= v.cfg.Relayed) {
			break
		}
		p.sent++
		m.Updates = append(m.Updates, p.info)
	}
	return m
}

// Farewell returns the message that announces the end of this process.
func (v *View) Farewell() Message {
	m := v.Message("")
	m.From.Status = Dead
	return m
}

// retransmit is the number of messages that carry a status change with
// priority: a small multiple of the logarithm of the number of members
// reaches all of them with high probability.
func (v *View) retransmit() int {
	n := 4
	for size := len(v.peers) + 1; size > 0; size /= 2 {
		n += 3
	}
	return n
}

func (v *View) sortedIDs() []string {
	ids := make([]string, 0, len(v.peers))
	for id := range v.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
