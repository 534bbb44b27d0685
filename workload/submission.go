package workload

import (
	"fmt"

	"github.com/carobwharf/carobwharf/placement"
)

// Limits of a submission. A job within them can't use up the memory of the process
// that schedules it.
const (
	// MaxTasks is the maximum number of tasks of one occurrence, and of all open
	// occurrences of a job together. The progress of a job is one row of the store,
	// which has at most 64 KiB; a task with three failures and a checkpoint takes
	// about 90 bytes of it, and the numbers of ended occurrences up to 6 KB.
	MaxTasks = 600
	// MaxOccurrences is the maximum number of repetitions, a day of one each second.
	MaxOccurrences = 100_000
	// maxDue is the latest time at which an occurrence may be due, in Unix ms: the
	// year 2223. The time until then fits a time.Duration.
	maxDue = 8_000_000_000_000
)

// MaxSize is more than any worker has: ten times and more what the largest machines
// have. Sums over the tasks of a pool can't overflow.
var MaxSize = placement.Size{MilliCores: 10_000_000, MemoryMB: 1 << 30, Accelerators: 10_000}

// Validate returns an error if the submission can't be run.
func (s *Submission) Validate() error {
	if len(s.Steps) == 0 {
		return fmt.Errorf("job %s has no steps", s.ID)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		if tasks += s.Steps[i].Count; tasks > MaxTasks {
			return fmt.Errorf("job %s has more than %d tasks", s.ID, MaxTasks)
		}
	}
	return s.Repeat.validate()
}

// validate returns an error if the step with the given index can't be run.
func (s *Step) validate(index int) error {
	if s.Count <= 0 || s.Count > MaxTasks {
		return fmt.Errorf("step %d has %d tasks, want 1 to %d", index, s.Count, MaxTasks)
	}
	if s.Size.MilliCores < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0 {
		return fmt.Errorf("step %d asks for a negative size", index)
	}
	if !s.Size.Fits(MaxSize) {
		return fmt.Errorf("step %d asks for more than any worker has", index)
	}
	if len(s.After) > index {
		return fmt.Errorf("step %d comes after %d steps, but there are %d before it", index, len(s.After), index)
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return fmt.Errorf("step %d comes after step %d, which is not an earlier one", index, a)
		}
	}
	return nil
}

func (s *Schedule) validate() error {
	switch {
	case s.Count < 0 || s.Count > MaxOccurrences:
		return fmt.Errorf("job runs %d times, want at most %d", s.Count, MaxOccurrences)
	case s.Start < 0 || s.Start > maxDue || s.Period < 0 || s.Period > maxDue:
		return fmt.Errorf("start %d and period %d are not times from 1970 to 2223", s.Start, s.Period)
	case s.Count > 0 && s.Start+int64(s.Count-1)*s.Period > maxDue: // no overflow within the bounds above
		return fmt.Errorf("last of %d occurrences is due after 2223", s.Count)
	}
	return nil
}

// maxAttempt bounds the number of an attempt, so that the next one can't overflow.
const maxAttempt = 1 << 53

// Validate returns an error if the numbers of p can't be those of a job.
func (p *Progress) Validate() error {
	if p.NextOccurrence < 0 || p.NextOccurrence > MaxOccurrences {
		return fmt.Errorf("next occurrence is %d, want 0 to %d", p.NextOccurrence, MaxOccurrences)
	}
	for _, number := range p.LaterEnded {
		if number < 0 || number > MaxOccurrences {
			return fmt.Errorf("occurrence %d has ended, want 0 to %d", number, MaxOccurrences)
		}
	}
	for i := range p.Tasks {
		t := &p.Tasks[i]
		if t.Occurrence < 0 || t.Step < 0 || t.Index < 0 || t.Failures < 0 || t.LastAttempt < 0 || t.LastAttempt > maxAttempt {
			return fmt.Errorf("task %d.%d.%d with %d failures and %d attempts has a number out of range", t.Occurrence, t.Step, t.Index, t.Failures, t.LastAttempt)
		}
	}
	return nil
}
