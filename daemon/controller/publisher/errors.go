package publisher

import (
	"errors"
	"fmt"
	"strings"

	"github.com/carobwharf/carobwharf/configcheck"
)

// Errors of a submission.
var (
	// ErrBusy means that the queue or the pool is full or the duty is stopping.
	// The submission was not started.
	ErrBusy = errors.New("publisher is busy")
	// ErrPlatform means that the platform is unavailable and nothing was
	// published.
	ErrPlatform = errors.New("platform unavailable, nothing was published")
	// ErrOutcomeUnknown means that the submission may have been published. The
	// submitter can repeat it with the same id to get the result.
	ErrOutcomeUnknown = errors.New("result unknown, repeat with the same submission id")
	// ErrContended means that another submission updated the head during each
	// attempt.
	ErrContended = errors.New("too many concurrent submissions, nothing was published")
	// ErrBaseUnknown means that the row of the base generation does not exist,
	// because it was pruned.
	ErrBaseUnknown = errors.New("base generation is unknown")
	// ErrIDReused means that a submission with another set or base has already
	// been published with this id.
	ErrIDReused = errors.New("submission id was used for another set")
	// ErrBadID means that the submission id is not valid.
	ErrBadID = errors.New("submission id must be 8 to 64 letters, digits, '-' or '_'")
)

// Rejected is the error for a set that configcheck finds invalid.
type Rejected struct {
	Findings []configcheck.Finding
	// Rebased is set if the submitted set is valid by itself, but not together
	// with the changes that generations after its base made.
	Rebased bool
}

// Error returns a message that lists the findings.
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
