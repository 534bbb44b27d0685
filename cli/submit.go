package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/peer/operator"
)

// Limits of the retries of an idempotent call whose result is unknown. The pause
// gives an unavailable controller time to recover.
const (
	maxCallAttempts = 3
	retryPause      = time.Second
)

func newSubmitCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "submit FILE",
		Short: "Publish an object set as the next generation",
		Long: `Submits a complete object set. --base is the generation that the file was made
from (see carobwharf status). If others have changed different objects since
then, both changes are published. If they have changed the same objects, nothing
is published, the objects are listed and the exit code is 3. The file does not
contain the changes of others: before the next change, fetch the new set with
carobwharf config.

If the result of a call is lost, the call is repeated with the same submission
id, so the set is published at most once. --id continues an earlier submission.`,
		Example:           "  carobwharf submit --settings controller-1.ini --base 41 fleet.ini",
		Args:              usageArgs(cobra.ExactArgs(1)),
		ValidArgsFunction: completeINI,
	}
	asJSON, r := addJSONFlag(cmd), addControllerFlags(cmd)
	base := cmd.Flags().String("base", "", "generation that the file was made from, 0 for the first set (required)")
	id := cmd.Flags().String("id", "", "submission id (default: a new one)")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		generation, err := strconv.ParseUint(*base, 10, 64)
		if err != nil {
			return usageError(fmt.Errorf("--base %q: want the generation that the file was made from", *base))
		}
		text, err := readInput(cmd, args[0])
		if err != nil {
			return err
		}
		if *id == "" {
			*id = rand.Text()
		}
		reply, err := submit(cmd, r, *id, generation, args[0], text)
		if err != nil {
			return printSubmitError(cmd, err, *id, args[0])
		}
		if *asJSON {
			return printJSON(cmd, reply)
		}
		return printSubmitted(cmd, reply)
	}
	return cmd
}

// submit submits the set and retries while the result is unknown.
func submit(cmd *cobra.Command, r *controllerFlags, id string, base uint64, file string, text []byte) (operator.SubmitReply, error) {
	return retryWhileUnknown(cmd, func() (operator.SubmitReply, error) {
		return callController(cmd, r, func(ctx context.Context, c *operator.Client) (operator.SubmitReply, error) {
			return c.Submit(ctx, id, base, file, text)
		})
	})
}

// retryWhileUnknown makes an idempotent call and repeats it while its result is
// unknown.
func retryWhileUnknown[T any](cmd *cobra.Command, f func() (T, error)) (T, error) {
	for attempt := 1; ; attempt++ {
		reply, err := f()
		var e *operator.Error
		if !errors.As(err, &e) || e.Code != operator.CodeUnknown || attempt == maxCallAttempts {
			return reply, err
		}
		select {
		case <-time.After(retryPause):
		case <-cmd.Context().Done():
			return reply, err
		}
	}
}

// printSubmitError prints the findings of a refused set to the error output and
// returns the error of the command.
func printSubmitError(cmd *cobra.Command, err error, id, file string) error {
	var e *operator.Error
	if !errors.As(err, &e) {
		return err
	}
	for _, f := range e.Findings {
		l := finding{File: file, Line: f.Line, Object: f.Object, Field: f.Field, Problem: f.Problem}
		if _, werr := fmt.Fprintln(cmd.ErrOrStderr(), l); werr != nil {
			return werr
		}
	}
	switch {
	case len(e.Findings) > 0:
		return fmt.Errorf("not published: %d problems", len(e.Findings))
	case e.Code == operator.CodeUnknown:
		return fmt.Errorf("%w; continue with --id %s", err, id)
	}
	return err
}

func printSubmitted(cmd *cobra.Command, r operator.SubmitReply) error {
	note := ""
	switch {
	case r.Unchanged:
		note = ", which already has this content"
	case r.Repeated:
		note = ", by an earlier call of the same submission"
	case r.Rebased:
		note = ", together with changes of later generations than the base; fetch the set with carobwharf config before the next change"
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "generation %d%s\n", r.Generation, note)
	return err
}
