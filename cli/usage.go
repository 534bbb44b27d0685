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

// usageError marks an error of flags, arguments or settings.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &CodedError{Code: ExitUsage, Err: err}
}

// usageArgs makes a failed check of the arguments a usage error.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error { return usageError(check(cmd, args)) }
}

// callError gives an error of the operators' API its exit code.
func callError(err error) error {
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

// readInput reads a file of at most the size of an object set; "-" is the
// standard input.
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
	// One byte more than the limit lets the parser report the excess.
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

// jsonFlag adds --json and returns its value.
func jsonFlag(cmd *cobra.Command) *bool {
	return cmd.Flags().Bool("json", false, "print JSON")
}

func completeINI(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return []string{"ini"}, cobra.ShellCompDirectiveFilterFileExt
}
