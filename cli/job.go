package cli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/structs"
)

func newJobCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "job",
		Short: "Submit, show and cancel jobs",
		Long:  "Jobs run on the workers of a pool. Declared sizes and run times are corrected by what earlier jobs used.",
	}
	cmd.AddCommand(newJobSubmitCmd(), newJobStatusCmd(), newJobCancelCmd(), newJobListCmd())
	return cmd
}

func newJobStatusCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "status ID",
		Short:   "Show a job",
		Example: "  carobwharf job status --settings controller-1.ini tally-2031-04",
		Args:    usageArgs(cobra.ExactArgs(1)),
	}
	asJSON, r := addJSONFlag(cmd), addControllerFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		reply, err := callController(cmd, r, func(ctx context.Context, c *operator.Client) (operator.JobReply, error) {
			return c.Job(ctx, args[0])
		})
		return printJob(cmd, reply, err, *asJSON)
	}
	return cmd
}

func newJobCancelCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "cancel ID",
		Short:   "Cancel a job",
		Long:    "Ends a queued job at once and stops a running one. The command can be repeated safely.",
		Example: "  carobwharf job cancel --settings controller-1.ini tally-2031-04",
		Args:    usageArgs(cobra.ExactArgs(1)),
	}
	asJSON, r := addJSONFlag(cmd), addControllerFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		reply, err := retryWhileUnknown(cmd, func() (operator.JobReply, error) {
			return callController(cmd, r, func(ctx context.Context, c *operator.Client) (operator.JobReply, error) {
				return c.CancelJob(ctx, args[0])
			})
		})
		return printJob(cmd, reply, err, *asJSON)
	}
	return cmd
}

func newJobListCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List jobs, sorted by id",
		Example: "  carobwharf job list --settings controller-1.ini --team tallies",
		Args:    usageArgs(cobra.NoArgs),
	}
	asJSON, r := addJSONFlag(cmd), addControllerFlags(cmd)
	var request operator.JobsRequest
	cmd.Flags().StringVar(&request.Team, "team", "", "only jobs of this team")
	cmd.Flags().StringVar(&request.After, "after", "", "only jobs whose ids sort after this one, for the next page")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		reply, err := callController(cmd, r, func(ctx context.Context, c *operator.Client) (operator.JobsReply, error) {
			return c.Jobs(ctx, request)
		})
		if err != nil {
			return err
		}
		if *asJSON {
			return printJSON(cmd, reply)
		}
		return printJobs(cmd, reply)
	}
	return cmd
}

func printJob(cmd *cobra.Command, r operator.JobReply, err error, asJSON bool) error {
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(cmd, r)
	}
	return printJobs(cmd, operator.JobsReply{Jobs: []structs.Job{r.Job}})
}

func printJobs(cmd *cobra.Command, r operator.JobsReply) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ID\tTEAM\tCLASS\tPOOL\tSTATE\tWORKER\tSTARTS\tFAILURES\tREASON")
	for _, j := range r.Jobs {
		state := string(j.State)
		if j.Cancel && !j.State.Ended() {
			state += " (cancelling)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", j.Spec.ID, j.Spec.Team, j.Spec.Class, j.Spec.Pool,
			state, j.Worker, j.Starts, j.Failures, j.Reason)
	}
	if r.More {
		fmt.Fprintf(w, "more jobs follow; use --after %s\n", r.Jobs[len(r.Jobs)-1].Spec.ID)
	}
	return w.Flush()
}
