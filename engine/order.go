package engine

import "cmp"

// compareCandidates orders candidates for placement. Within one urgency and
// priority, occurrences that have begun come first: the work that they have
// done is lost to their callers if new jobs delay the rest beyond the objective.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.priority, b.priority),
		compareBegun(a, b),
		cmp.Compare(a.remainingWork, b.remainingWork),
		a.latestStart.Compare(b.latestStart),
		cmp.Compare(a.arrivalOrder, b.arrivalOrder),
	)
}

func compareBegun(a, b candidate) int {
	switch aBegun, bBegun := a.step.occ.begun, b.step.occ.begun; {
	case aBegun == bBegun:
		return 0
	case aBegun:
		return -1
	default:
		return 1
	}
}
