package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/settings"
)

// usageError returns an error of flags, arguments or settings with the exit code
// ExitUsage.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &CodedError{Code: ExitUsage, Err: err}
}

// usageArgs returns a check of the arguments whose failure is a usage error.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error { return usageError(check(cmd, args)) }
}

// apiError adds the matching exit code to an error of the operators' API.
func apiError(err error) error {
	var e *operator.Error
	if !errors.As(err, &e) {
		return err
	}
	switch e.Code {
	case operator.CodeConflict:
		return &CodedError{Code: ExitConflict, Err: err}
	case operator.CodeBadRequest, operator.CodeUnauthorized:
		return usageError(err)
	}
	return err
}

// readInput reads the file at path, or the standard input if path is "-". It reads
// at most one byte more than the maximum size of an object set.
func readInput(cmd *cobra.Command, path string) ([]byte, error) {
	in := cmd.InOrStdin()
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, usageError(err)
		}
		defer f.Close()
		in = f
	}
	// The additional byte lets the parser report that the input is too large.
	data, err := io.ReadAll(io.LimitReader(in, settings.MaxObjectBytes+1))
	if err != nil {
		return nil, usageError(fmt.Errorf("read %s: %w", path, err))
	}
	return data, nil
}

func printJSON(cmd *cobra.Command, value any) error {
	e := json.NewEncoder(cmd.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// addJSONFlag adds the flag --json and returns its value.
func addJSONFlag(cmd *cobra.Command) *bool {
	return cmd.Flags().Bool("json", false, "print JSON")
}

func completeINI(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return []string{"ini"}, cobra.ShellCompDirectiveFilterFileExt
}
