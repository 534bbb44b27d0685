package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/structs"
)

func newConfigCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Print the configuration in force as an object set",
		Long: `Prints the object set that is in force, with its generation in a comment on the
first line. The output can be edited and submitted with that generation as
--base.`,
		Example: "  carobwharf config --settings controller-1.ini > fleet.ini",
		Args:    usageArgs(cobra.NoArgs),
	}
	asJSON, r := addJSONFlag(cmd), addControllerFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		c, err := callController(cmd, r, func(ctx context.Context, c *operator.Client) (*structs.Config, error) {
			return c.Config(ctx)
		})
		if err != nil {
			return err
		}
		if *asJSON {
			return printJSON(cmd, c)
		}
		text, err := settings.FormatObjects(&c.Set)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "# generation %d\n%s", c.Generation, text)
		return err
	}
	return cmd
}
