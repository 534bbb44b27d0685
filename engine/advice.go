package engine

import "time"

// maxAdvisedWorkers is the maximum number of workers in one call to the
// placement policy.
const maxAdvisedWorkers = 30

// policyAllows reports whether the placement policy allows the step at the
// worker. If that is not known, it asks the policy and returns false.
func (m *Scheduler) policyAllows(now time.Time, s *step, w *worker) bool {
	if tk, ok := s.tickets[w.ID]; ok && now.Before(tk.expires) {
		return tk.value != ""
	}
	if s.advicePending {
		return false
	}
	a := Advise{Job: s.occ.job.submission.ID, Occurrence: s.occ.number, Step: s.index}
	for _, other := range m.sortedWorkers {
		if tk, ok := s.tickets[other.ID]; ok && now.Before(tk.expires) || !m.usable(now, other) {
			continue
		}
		if len(a.Workers) < maxAdvisedWorkers {
			a.Workers = append(a.Workers, other.ID)
		}
	}
	s.advicePending = true
	m.emit(a)
	return false
}

// ticketRefreshTime is the time in which a ticket that has expired is replaced as long as
// the placement policy answers.
const ticketRefreshTime = time.Second

// hasRecentTicket reports whether the placement policy allows the step at the worker, by
// a ticket that is valid or may be about to be replaced. Which workers the policy allows
// doesn't change.
func (s *step) hasRecentTicket(now time.Time, w *worker) bool {
	tk := s.tickets[w.ID]
	return tk.value != "" && now.Before(tk.expires.Add(ticketRefreshTime))
}

// ticketMargin is subtracted from a ticket's validity so that the start arrives
// before the ticket expires.
const ticketMargin = 200 * time.Millisecond

func (m *Scheduler) handleAdvice(now time.Time, e AdviceAnswered) {
	j, ok := m.jobs[e.Job]
	if !ok {
		return
	}
	for _, o := range j.openOccurrences {
		if o.number != e.Occurrence || e.Step >= len(o.steps) {
			continue
		}
		s := o.steps[e.Step]
		s.advicePending, m.needsPlacement = false, true
		if !e.OK {
			m.wakeAt(now.Add(refusalRetryDelay))
			return
		}
		for _, id := range e.Asked {
			valid := e.Valid - ticketMargin
			s.tickets[id] = ticket{value: e.Tickets[id], expires: now.Add(valid)}
		}
	}
}
