package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/publication"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/structs"
)

func newDiffCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "diff [FILE]",
		Short: "Show the changes in a file or since a generation",
		Long: `With a file, shows the objects that the file adds, changes or removes compared to
the configuration in force. With --since, shows the changes that were published
after that generation.`,
		Example:           "  carobwharf diff --settings controller-1.ini fleet.ini\n  carobwharf diff --settings controller-1.ini --since 41",
		Args:              usageArgs(cobra.MaximumNArgs(1)),
		ValidArgsFunction: completeINI,
	}
	asJSON, r := addJSONFlag(cmd), addControllerFlags(cmd)
	since := cmd.Flags().Uint64("since", 0, "generation to compare the configuration in force with")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if (len(args) == 1) == cmd.Flags().Changed("since") {
			return usageError(fmt.Errorf("want exactly one of FILE and --since"))
		}
		reply, err := callController(cmd, r, func(ctx context.Context, c *operator.Client) (operator.DiffReply, error) {
			if len(args) == 0 {
				return c.Diff(ctx, operator.DiffRequest{From: *since})
			}
			return diffFile(ctx, cmd, c, args[0])
		})
		if err != nil {
			return err
		}
		if *asJSON {
			return printJSON(cmd, reply)
		}
		return printDelta(cmd, &reply.Delta)
	}
	return cmd
}

// diffFile compares the file with the configuration in force. The field To of the
// reply is 0 because a file has no generation.
func diffFile(ctx context.Context, cmd *cobra.Command, c *operator.Client, path string) (operator.DiffReply, error) {
	data, err := readInput(cmd, path)
	if err != nil {
		return operator.DiffReply{}, err
	}
	f, err := settings.ParseObjects(path, data)
	if err != nil {
		return operator.DiffReply{}, usageError(err)
	}
	config, err := c.Config(ctx)
	if err != nil {
		return operator.DiffReply{}, err
	}
	return operator.DiffReply{From: config.Generation, Delta: publication.Diff(&config.Set, &f.Set)}, nil
}

func printDelta(cmd *cobra.Command, d *publication.Delta) error {
	out := cmd.OutOrStdout()
	for _, group := range []struct {
		sign string
		refs []structs.Ref
	}{{"+", publication.Refs(&d.Added)}, {"~", publication.Refs(&d.Changed)}, {"-", d.Removed}} {
		for _, ref := range group.refs {
			if _, err := fmt.Fprintf(out, "%s [%s]\n", group.sign, ref); err != nil {
				return err
			}
		}
	}
	if d.Empty() {
		_, err := fmt.Fprintln(out, "no difference")
		return err
	}
	return nil
}
