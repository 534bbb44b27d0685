package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

type peer struct {
	latest          Update
	lastAliveAt     time.Time // time of the last update with a later beat
	statusChangedAt time.Time // time of the last status change
	transmissions   int       // number of messages that carried the current status
}

// View is the membership as one process sees it.
type View struct {
	cfg          Config
	self         Update
	configHash   string
	peers        map[string]*peer
	rng          *rand.Rand
	contactOrder []string // IDs that remain in the current pass over the members
	healthScore  int
	lastTick     time.Time
	version      uint64
}

// New returns a view with self as its only member. The incarnation of self
// must be higher than that of earlier processes with the same ID.
func New(self structs.Member, cfg Config, rng *rand.Rand) *View {
	return &View{cfg: cfg, self: Update{Member: self}, peers: map[string]*peer{}, rng: rng, version: 1}
}

// SetConfig records the configuration in force in this process.
func (v *View) SetConfig(generation uint64, hash string) {
	if v.self.Member.Generation != generation {
		v.self.Member.Generation, v.configHash = generation, hash
		v.version++
	}
}

// Self returns the member entry of this process.
func (v *View) Self() structs.Member { return v.self.Member }

// Version returns a number that increases when the result of Live changes.
func (v *View) Version() uint64 { return v.version }

// Health returns the local-health score: 0 is healthy, maxHealthScore the worst.
func (v *View) Health() int { return v.healthScore }

// Live returns self and all members that are not dead, sorted by ID.
func (v *View) Live() []structs.Member {
	out := []structs.Member{v.self.Member}
	for _, p := range v.peers {
		if p.latest.Status != Dead {
			out = append(out, p.latest.Member)
		}
	}
	slices.SortFunc(out, func(a, b structs.Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// All returns an update for each known member except self, sorted by ID.
func (v *View) All() []Update {
	out := make([]Update, 0, len(v.peers))
	for _, p := range v.peers {
		out = append(out, p.latest)
	}
	slices.SortFunc(out, func(a, b Update) int { return strings.Compare(a.Member.ID, b.Member.ID) })
	return out
}

// Message returns the message for the member with the given ID, which is empty
// if the ID is not known. The message has at most MaxUpdates updates, in this
// order: the recipient's own entry unless it is seen as alive, so that it can
// refute; the status changes that were sent least often; and entries chosen at
// random until there are MinUpdates.
func (v *View) Message(to string) Message {
	m := Message{From: v.self, ConfigHash: v.configHash}
	rest := make([]*peer, 0, len(v.peers))
	for _, id := range v.sortedIDs() {
		p := v.peers[id]
		switch {
		case id != to:
			rest = append(rest, p)
		case p.latest.Status != Alive:
			m.Updates = append(m.Updates, p.latest)
		}
	}
	v.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	limit := v.retransmitLimit()
	slices.SortStableFunc(rest, func(a, b *peer) int { return min(a.transmissions, limit) - min(b.transmissions, limit) })
	for i, p := range rest {
		if len(m.Updates) >= v.cfg.MaxUpdates || (p.transmissions >= limit && i >= v.cfg.MinUpdates) {
			break
		}
		p.transmissions++
		m.Updates = append(m.Updates, p.latest)
	}
	return m
}

// LeaveMessage returns a message that announces that this process stops.
func (v *View) LeaveMessage() Message {
	m := v.Message("")
	m.From.Status = Dead
	return m
}

// retransmitLimit returns how many messages carry a status change with
// priority. A small multiple of the logarithm of the number of members is
// enough to reach all of them with high probability.
func (v *View) retransmitLimit() int {
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
