package cli

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/demo"
)

// errHistoryViolations is returned if the history check of the demonstration fails.
var errHistoryViolations = errors.New("demonstration: the history check found violations")

func newDemoCmd() *cobra.Command {
	o := demo.DefaultOptions()
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Run a complete deployment with stand-ins and generated load in one process and check its history",
		Example: "  carobwharf demo --for 10s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.Out, o.Log = cmd.OutOrStdout(), cmd.ErrOrStderr()
			r, err := demo.Run(cmd.Context(), o)
			if err != nil {
				return fmt.Errorf("demonstration: %w", err)
			}
			fmt.Fprintf(o.Out, "\n%s\n%s\n", r.Load, r.Report)
			if !r.Clean() {
				for _, f := range r.NotLinearizable {
					fmt.Fprintln(o.Out, f)
				}
				return errHistoryViolations
			}
			fmt.Fprintln(o.Out, "clean: nothing lost, nothing executed twice, no wrong answer")
			return nil
		},
	}
	f := cmd.Flags()
	f.DurationVar(&o.Length, "for", o.Length, "duration of the load")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the load and the service times")
	f.IntVar(&o.Gateways, "gateways", o.Gateways, "number of gateways")
	f.IntVar(&o.Controllers, "controllers", o.Controllers, "number of controllers")
	f.Float64Var(&o.Rate, "rate", o.Rate, "factor for all rates of the load")
	return cmd
}
