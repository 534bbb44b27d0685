package systemtest

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/standin/users"
)

// Guards against a soak that passes although a long-running task or a task of an
// overlapping occurrence has a second run, and against findings for runs that the
// platform allows.
func TestSoakCheckerFindsSecondRuns(t *testing.T) {
	start := func(task, worker string, attempt int) users.Event {
		return users.Event{Kind: users.Started, Task: task, Worker: worker, Attempt: attempt}
	}
	end := func(kind users.EventKind, task, worker string, attempt int, outcome string) users.Event {
		return users.Event{Kind: kind, Task: task, Worker: worker, Attempt: attempt, Outcome: outcome}
	}
	for name, tc := range map[string]struct {
		events  []users.Event
		finding string
	}{
		"long-running task on two workers": {
			[]users.Event{start("l.0.0.0", "a", 1), start("l.0.0.0", "b", 2)}, "duplicate run",
		},
		"long-running task restarted after a failure": {
			[]users.Event{start("l.0.0.0", "a", 1), end(users.Ended, "l.0.0.0", "a", 1, "failed"), start("l.0.0.0", "b", 2)}, "",
		},
		"overlapping occurrences": {
			[]users.Event{start("s.0.0.0", "a", 1), start("s.1.0.0", "a", 1)}, "",
		},
		"later occurrence repeated before the first has ended": {
			[]users.Event{
				start("s.0.0.0", "a", 1), start("s.1.0.0", "b", 1), end(users.Ended, "s.1.0.0", "b", 1, "done"),
				end(users.Acknowledged, "s.1.0.0", "b", 1, "done"), start("s.1.0.0", "a", 2),
			}, "duplicate run",
		},
		"second step after the first step of another occurrence": {
			[]users.Event{start("s.0.0.0", "a", 1), end(users.Ended, "s.0.0.0", "a", 1, "done"), start("s.1.1.0", "a", 1)}, "dependency violation",
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newSoakChecker()
			c.jobs["l"] = &jobView{steps: 1, width: 1, occurrences: 1, lasting: true, accepted: true}
			c.jobs["s"] = &jobView{steps: 2, width: 1, occurrences: 2, accepted: true}
			c.applyEvents(tc.events)
			if tc.finding == "" {
				require.Empty(t, c.findings)
				return
			}
			require.Len(t, c.findings, 1)
			require.Contains(t, c.findings[0], tc.finding)
		})
	}
}
