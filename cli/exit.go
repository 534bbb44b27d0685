package cli

import "errors"

// CodedError is an error with a specific exit code.
type CodedError struct {
	Code int
	Err  error
}

// Error returns the message of the wrapped error.
func (e *CodedError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *CodedError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for an error that a command returned.
func ExitCode(err error) int {
	var coded *CodedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coded):
		return coded.Code
	default:
		return ExitFailure
	}
}
