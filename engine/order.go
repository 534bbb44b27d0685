package engine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"

	"github.com/carobwharf/carobwharf/workload"
)

// compareCandidates orders candidates for placement. Within one urgency and
// priority, occurrences that have begun come first: the work that they have
// done is lost to their callers if new jobs delay the rest beyond the objective.
//
// Its criteria are compared one by one, because a pass over a long queue spends
// much of its time here.
func compareCandidates(a, b *candidate) int {
	if c := cmp.Compare(a.urgency, b.urgency); c != 0 {
		return c
	}
	if c := cmp.Compare(a.priority, b.priority); c != 0 {
		return c
	}
	if c := compareBegun(a, b); c != 0 {
		return c
	}
	if c := cmp.Compare(a.precedence, b.precedence); c != 0 {
		return c
	}
	if c := a.latestStart.Compare(b.latestStart); c != 0 {
		return c
	}
	return cmp.Compare(a.arrivalOrder, b.arrivalOrder)
}

func compareBegun(a, b *candidate) int {
	switch aBegun, bBegun := a.step.isWorthEnding(), b.step.isWorthEnding(); {
	case aBegun == bBegun:
		return 0
	case aBegun:
		return -1
	default:
		return 1
	}
}

// isWorthEnding reports whether the step's occurrence has begun and may end well.
func (s *step) isWorthEnding() bool { return s.occ.begun && !s.isHopeless() }

// precedence decides which occurrences of equal urgency are served when the
// pool has too little for all: the probability that one comes before another is
// inversely proportional to its remaining work. With the least work first, large
// jobs would never be served in an overload; with the earliest deadline first,
// most jobs would be started too late. The draw is fixed for each occurrence, so
// that its tasks are served together.
func (o *occurrence) precedence() float64 {
	return o.draw * o.remainingWork()
}

// exponentialDraw returns an exponentially distributed number of mean 1 that is
// the same for all owners of an occurrence. It depends on the time of acceptance
// so that callers can't obtain a small one by their choice of the ID.
func exponentialDraw(s workload.Submission, occurrence int) float64 {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d %d", s.ID, s.Accepted, occurrence))
	const mantissaBits = 53
	uniform := (float64(binary.BigEndian.Uint64(sum[:])>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -math.Log(uniform)
}
