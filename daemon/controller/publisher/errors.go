package publisher

import (
	"errors"
	"fmt"
	"strings"

	"github.com/carobwharf/carobwharf/configcheck"
)

// Errors of a submission.
var (
	// ErrBusy: too many submissions; this one was not started.
	ErrBusy = errors.New("publisher is busy")
	// ErrPlatform: the platform cannot be used; nothing was published.
	ErrPlatform = errors.New("platform unavailable, nothing was published")
	// ErrUnsettled: the submission may have been published. The submitter
	// repeats it with the same id to learn the result.
	ErrUnsettled = errors.New("result unknown, repeat with the same submission id")
	// ErrContended: other submissions moved the head at each attempt.
	ErrContended = errors.New("too many concurrent submissions, nothing was published")
	// ErrBaseUnknown: the base generation does not exist any more.
	ErrBaseUnknown = errors.New("base generation is unknown")
	// ErrIDReused: the submission id belongs to a submission of another set.
	ErrIDReused = errors.New("submission id was used for another set")
	// ErrBadID: the submission id has the wrong syntax.
	ErrBadID = errors.New("submission id must be 8 to 64 letters, digits, '-' or '_'")
)

// Rejected reports a set that does not pass the check.
type Rejected struct {
	Findings []configcheck.Finding
	// Rebased: the submitted set is valid, but not together with the changes
	// of generations after its base.
	Rebased bool
}

// Error lists the findings.
func (r *Rejected) Error() string {
	lines := make([]string, len(r.Findings))
	for i, f := range r.Findings {
		lines[i] = f.String()
	}
	what := "the set"
	if r.Rebased {
		what = "the set together with later changes"
	}
	return fmt.Sprintf("%s is not valid: %s", what, strings.Join(lines, "; "))
}

func validID(id string) bool {
	if len(id) < 8 || len(id) > 64 {
		return false
	}
	return strings.Trim(id, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") == ""
}
