package cli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/peer/operator"
)

func newStatusCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the configuration, the processes and the pools",
		Example: "  carobwharf status --settings controller-1.ini",
		Args:    usageArgs(cobra.NoArgs),
	}
	asJSON, r := addJSONFlag(cmd), addControllerFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		reply, err := callController(cmd, r, func(ctx context.Context, c *operator.Client) (operator.StatusReply, error) {
			return c.Status(ctx)
		})
		if err != nil {
			return err
		}
		if *asJSON {
			return printJSON(cmd, reply)
		}
		return printStatus(cmd, reply)
	}
	return cmd
}

func printStatus(cmd *cobra.Command, s operator.StatusReply) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "process\t%s\ndata centre\t%s\ngeneration\t%d\nhash\t%s\n", s.Process, s.DataCentre, s.Generation, s.Hash)
	if len(s.Members) > 0 {
		fmt.Fprintln(w, "\nPROCESS\tROLE\tADDRESS\tDATA CENTRE\tGENERATION")
		for _, m := range s.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", m.ID, m.Role, m.Addr, m.DataCentre, m.Generation)
		}
	}
	if len(s.Pools) > 0 {
		fmt.Fprintln(w, "\nPOOL\tTARGET\tACTIVE\tDRAINING\tREBOOTING")
		for _, p := range s.Pools {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", p.Name, p.Target, p.Active, p.Draining, p.Rebooting)
		}
	}
	return w.Flush()
}
