package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/peer/operator"
)

func newDrainCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "drain VM",
		Short:   "Drain a VM",
		Long:    "Asks the controller to drain a VM within the budgets of its pool. Requests in flight are not interrupted.",
		Example: `  carobwharf drain --settings controller-1.ini --reason "fan failure" vm-17`,
		Args:    usageArgs(cobra.ExactArgs(1)),
	}
	asJSON, r := addJSONFlag(cmd), addControllerFlags(cmd)
	reason := cmd.Flags().String("reason", "operator", "reason to record with the VM")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		reply, err := callController(cmd, r, func(ctx context.Context, c *operator.Client) (operator.DrainReply, error) {
			return c.Drain(ctx, operator.DrainRequest{VM: args[0], Reason: *reason})
		})
		if err != nil {
			return err
		}
		if *asJSON {
			return printJSON(cmd, reply)
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "VM %s of pool %s: %s, epoch %d\n", reply.VM, reply.Pool, reply.State, reply.Epoch)
		return err
	}
	return cmd
}
