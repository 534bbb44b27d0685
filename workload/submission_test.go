package workload

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/placement"
)

func submission(change func(*Submission)) *Submission {
	s := &Submission{ID: "5c0e7a21d94b36f8", Steps: []Step{
		{Count: 4, Size: placement.Size{MilliCores: 500, MemoryMB: 100}}, {Count: 5, After: []int{0}},
	}}
	change(s)
	return s
}

// One submission of 10^9 tasks or of 10^9 occurrences that are due made the owner of
// its pool allocate them all. It ended for lack of memory, and so did each
// successor, because the job was stored.
func TestSubmissionBeyondLimitsIsInvalid(t *testing.T) {
	for name, change := range map[string]func(*Submission){
		"tasks of a step":      func(s *Submission) { s.Steps[0].Count = 1_000_000_000 },
		"tasks of all steps":   func(s *Submission) { s.Steps[0].Count, s.Steps[1].Count = MaxTasks, 1 },
		"sum overflows":        func(s *Submission) { s.Steps[0].Count, s.Steps[1].Count = math.MaxInt, math.MaxInt },
		"no tasks":             func(s *Submission) { s.Steps[0].Count = 0 },
		"negative count":       func(s *Submission) { s.Steps[0].Count = -1 },
		"no steps":             func(s *Submission) { s.Steps = nil },
		"repeated dependency":  func(s *Submission) { s.Steps[1].After = []int{0, 0} },
		"later dependency":     func(s *Submission) { s.Steps[1].After = []int{1} },
		"negative dependency":  func(s *Submission) { s.Steps[1].After = []int{-1} },
		"processor":            func(s *Submission) { s.Steps[0].Size.MilliCores = math.MaxInt },
		"memory":               func(s *Submission) { s.Steps[0].Size.MemoryMB = math.MaxInt },
		"accelerators":         func(s *Submission) { s.Steps[0].Size.Accelerators = math.MaxInt },
		"negative size":        func(s *Submission) { s.Steps[0].Size.MemoryMB = -1 },
		"occurrences":          func(s *Submission) { s.Repeat = Schedule{Count: 1_000_000_000, Period: 1} },
		"negative occurrences": func(s *Submission) { s.Repeat.Count = -1 },
		"late start":           func(s *Submission) { s.Repeat = Schedule{Count: 1, Start: 1 << 53} },
		"early start":          func(s *Submission) { s.Repeat = Schedule{Count: 1, Start: math.MinInt64} },
		"long period":          func(s *Submission) { s.Repeat = Schedule{Count: 3, Period: math.MaxInt64 / 2} },
		"negative period":      func(s *Submission) { s.Repeat = Schedule{Count: 3, Period: -1} },
		"late last occurrence": func(s *Submission) { s.Repeat = Schedule{Count: MaxOccurrences, Period: 1 << 40} },
	} {
		assert.Error(t, submission(change).Validate(), name)
	}
	for name, change := range map[string]func(*Submission){
		"plain":         func(*Submission) {},
		"largest":       func(s *Submission) { s.Steps[0].Count = MaxTasks - 5 },
		"scheduled":     func(s *Submission) { s.Repeat = Schedule{Count: 8, Start: 1_796_000_000_000, Period: 3000} },
		"largest sizes": func(s *Submission) { s.Steps[0].Size = MaxSize },
	} {
		require.NoError(t, submission(change).Validate(), name)
	}
}
