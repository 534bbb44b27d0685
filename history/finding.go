package history

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Kind is the kind of a violation.
type Kind string

// Kinds of violations.
const (
	KindWrongAnswer     Kind = "wrong-answer"      // the answer belongs to a different request
	KindTruncated       Kind = "truncated-answer"  // the body is not a complete answer
	KindRepeatedEffect  Kind = "repeated-effect"   // a non-idempotent key was executed more than once
	KindFalseNotRun     Kind = "false-not-run"     // reported as not run, but the request was executed
	KindDoneNoEffect    Kind = "done-no-effect"    // reported as done, but no execution was recorded
	KindAnswerChanged   Kind = "answer-changed"    // a repeated request with a completed key got a different answer
	KindLost            Kind = "lost"              // no answer within the time that the caller waits
	KindCorruptEffect   Kind = "corrupt-effect"    // the executed operation or body differs from the one sent
	KindStrayEffect     Kind = "stray-effect"      // an effect of a request that was never sent
	KindStrayAnswer     Kind = "stray-answer"      // an answer to a request that was never sent
	KindSecondAnswer    Kind = "second-answer"     // one request got two answers
	KindDuplicateID     Kind = "duplicate-id"      // two requests have the same identifier
	KindUnknownOutcome  Kind = "undefined-outcome" // the outcome of the answer is not one of the three defined ones
	KindNotLinearizable Kind = "not-linearizable"  // no order of the key's requests explains the answers
	KindUndecided       Kind = "undecided"         // the linearizability check did not finish in time
)

// Finding is one violation.
type Finding struct {
	Kind      Kind   `json:"kind"`
	Service   string `json:"service,omitempty"`
	RequestID string `json:"requestId,omitempty"`
	Key       string `json:"key,omitempty"`
	Detail    string `json:"detail"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s service=%s request=%s key=%s: %s", f.Kind, f.Service, f.RequestID, f.Key, f.Detail)
}

// Options configures Check. The zero value is usable.
type Options struct {
	// Wait is how long a caller waits for an answer. A request without an
	// answer counts as lost if its caller waited at least this long after
	// sending it. The default is 10 s.
	Wait time.Duration
	// WithoutEffects means that the history contains no effects. The checks
	// that compare answers with effects are skipped.
	WithoutEffects bool
}

// Counts contains the number of requests of one service for each outcome.
type Counts struct {
	Sent     int `json:"sent"`
	Done     int `json:"done"`
	NotRun   int `json:"notRun"`
	Unknown  int `json:"unknown"`
	Error    int `json:"error"`    // the call ended without an answer
	NoAnswer int `json:"noAnswer"` // no answer or error was recorded
	Replayed int `json:"replayed"` // done requests whose answer was replayed
	Effects  int `json:"effects"`
}

// Report is the result of Check.
type Report struct {
	Findings []Finding          `json:"findings"`
	Counts   map[string]*Counts `json:"counts"` // by service
}

// Count returns the number of findings of one kind.
func (r *Report) Count(k Kind) int {
	n := 0
	for _, f := range r.Findings {
		if f.Kind == k {
			n++
		}
	}
	return n
}

// String lists the counts by service, then the findings.
func (r *Report) String() string {
	var b strings.Builder
	names := make([]string, 0, len(r.Counts))
	for name := range r.Counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c := r.Counts[name]
		fmt.Fprintf(&b, "%s: sent %d, done %d, not-run %d, unknown %d, error %d, no answer %d, replayed %d, effects %d\n",
			name, c.Sent, c.Done, c.NotRun, c.Unknown, c.Error, c.NoAnswer, c.Replayed, c.Effects)
	}
	for _, f := range r.Findings {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

func (c *Counts) add(o structs.Outcome, replayed bool) {
	switch o {
	case structs.OutcomeDone:
		c.Done++
		if replayed {
			c.Replayed++
		}
	case structs.OutcomeNotRun:
		c.NotRun++
	case structs.OutcomeUnknown:
		c.Unknown++
	}
}
