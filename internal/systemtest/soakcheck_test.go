package systemtest

import (
	"fmt"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/standin/users"
)

// jobView is what callers know of a job.
type jobView struct {
	queue     string
	steps     int // each after the one before
	width     int // tasks of a step
	sent      bool
	accepted  bool
	maybe     bool // an attempt ended without a final answer
	cancelled time.Time
	state     string // as last told
}

// soakCheck checks the promises from what workers and callers see. It is used
// from one goroutine.
type soakCheck struct {
	jobs     map[string]*jobView
	seen     int                        // events taken in
	running  map[string]map[string]int  // by task: workers where it runs, and the run
	done     map[string]bool            // tasks with an end "done"
	acked    map[string]bool            // tasks whose end "done" was taken note of
	ends     map[string]map[string]bool // by task: runs that ended "done", and whether the task was started later
	failed   map[string]int             // failed runs of a task
	findings []string
	starts   int
}

func newSoakCheck() *soakCheck {
	return &soakCheck{
		jobs: map[string]*jobView{}, running: map[string]map[string]int{}, done: map[string]bool{},
		acked: map[string]bool{}, ends: map[string]map[string]bool{}, failed: map[string]int{},
	}
}

func (c *soakCheck) finding(format string, args ...any) {
	c.findings = append(c.findings, fmt.Sprintf(format, args...))
}

// take takes in what happened at the workers.
func (c *soakCheck) take(events []users.Event) {
	for _, e := range events {
		c.seen++
		switch e.Kind {
		case users.Started:
			c.start(e)
		case users.Ended:
			delete(c.running[e.Task], e.Worker)
			switch e.How {
			case "done":
				c.done[e.Task] = true
				if c.ends[e.Task] == nil {
					c.ends[e.Task] = map[string]bool{}
				}
				c.ends[e.Task][runAt(e)] = false
			case "failed":
				c.failed[e.Task]++
			}
		case users.Acknowledged:
			if e.How != "done" {
				continue
			}
			c.acked[e.Task] = true
			if c.ends[e.Task][runAt(e)] {
				c.finding("TWICE: task %s was started after the end of run %d at %s, which was taken note of", e.Task, e.Attempt, e.Worker)
			}
		}
	}
}

// runAt names a run.
func runAt(e users.Event) string { return fmt.Sprintf("%d@%s", e.Attempt, e.Worker) }

// cancelSlack is how long after its acknowledgement a cancelled job may start
// tasks: the bound of the settings that the soak writes.
const cancelSlack = 3 * time.Second

func (c *soakCheck) start(e users.Event) {
	c.starts++
	id, step := splitTask(e.Task)
	j, ok := c.jobs[id]
	if !ok {
		c.finding("UNASKED: task %s was started, and nobody submitted its job", e.Task)
		return
	}
	for other, run := range c.running[e.Task] {
		c.finding("TWICE: task %s runs at %s (run %d) and at %s (run %d)", e.Task, other, run, e.Worker, e.Attempt)
	}
	if c.acked[e.Task] {
		c.finding("TWICE: task %s was started again after its end was taken note of", e.Task)
	}
	for run := range c.ends[e.Task] {
		c.ends[e.Task][run] = true
	}
	if !j.cancelled.IsZero() && e.At.After(j.cancelled.Add(cancelSlack)) {
		c.finding("UNASKED: task %s was started %s after the cancellation", e.Task, e.At.Sub(j.cancelled))
	}
	for i := range j.width {
		if before := fmt.Sprintf("%s.0.%d.%d", id, step-1, i); step > 0 && !c.done[before] {
			c.finding("ORDER: task %s was started before %s was done", e.Task, before)
		}
	}
	if c.running[e.Task] == nil {
		c.running[e.Task] = map[string]int{}
	}
	c.running[e.Task][e.Worker] = e.Attempt
}

func splitTask(task string) (job string, step int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, 0
	}
	_, _ = fmt.Sscan(parts[2], &step)
	return parts[0], step
}

// told takes in a state that a caller was told.
func (c *soakCheck) told(id, state string) {
	j := c.jobs[id]
	switch {
	case state == "gone" && j.accepted:
		c.finding("LOST: job %s was accepted and is not known", id)
	case j.state == "completed" && state != "completed":
		c.finding("MIXED: job %s was shown as completed and then as %s", id, state)
	case state == "completed":
		for task := range c.tasks(id, j) {
			if !c.done[task] {
				c.finding("MIXED: job %s is shown as completed, and task %s is not done", id, task)
			}
		}
	case state == "failed" && !c.mayFail(id):
		c.finding("LOST: job %s is shown as failed without a cause", id)
	}
	if state != "gone" {
		j.state = state
	}
}

// maxAttempts is that of the stand-in's queues.
const maxAttempts = 4

func (c *soakCheck) mayFail(id string) bool {
	for task, n := range c.failed {
		if strings.HasPrefix(task, id+".") && n >= maxAttempts {
			return true
		}
	}
	return false
}

func (c *soakCheck) tasks(id string, j *jobView) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for s := range j.steps {
			for i := range j.width {
				if !yield(fmt.Sprintf("%s.0.%d.%d", id, s, i)) {
					return
				}
			}
		}
	}
}

// open returns the accepted jobs whose end callers have not been told.
func (c *soakCheck) open() (ids []string) {
	for id, j := range c.jobs {
		if j.accepted && j.cancelled.IsZero() && j.state != "completed" && j.state != "failed" {
			ids = append(ids, id)
		}
	}
	return ids
}

// refused checks that nothing ran of what was refused for good.
func (c *soakCheck) refused() {
	for task := range c.running {
		id, _ := splitTask(task)
		if j := c.jobs[id]; j != nil && !j.accepted && !j.maybe {
			c.finding("REFUSED: task %s ran, and each attempt to submit its job was refused", task)
		}
	}
}
