package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/structs"
)

func newJobSubmitCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "submit ID",
		Short: "Submit a job",
		Long:  "Submits a job under an id that the submitter chooses. The command can be repeated safely: if the job exists with the same content, its current state is shown.",
		Example: `  carobwharf job submit --settings controller-1.ini --pool umum --team audits --kind bundle \
    --class batch --cores 2000 --memory 4096 --run-time 40m --checkpoints bundle-2031-04`,
		Args: usageArgs(cobra.ExactArgs(1)),
	}
	asJSON, r := addJSONFlag(cmd), addControllerFlags(cmd)
	spec := addJobSpecFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		spec.ID = args[0]
		reply, err := retryWhileUnknown(cmd, func() (operator.JobReply, error) {
			return callController(cmd, r, func(ctx context.Context, c *operator.Client) (operator.JobReply, error) {
				return c.SubmitJob(ctx, *spec)
			})
		})
		return printJob(cmd, reply, err, *asJSON)
	}
	return cmd
}

func addJobSpecFlags(cmd *cobra.Command) *structs.JobSpec {
	s, f := &structs.JobSpec{}, cmd.Flags()
	f.StringVar(&s.Pool, "pool", "", "pool whose workers run the job")
	f.StringVar(&s.Team, "team", "", "team that the job is accounted to")
	f.StringVar(&s.Kind, "kind", "", "name of a group of similar jobs; the declared resources are corrected by what earlier ones used")
	f.StringVar((*string)(&s.Class), "class", string(structs.ClassStandard), "urgent, standard or batch")
	f.IntVar(&s.MilliCores, "cores", 1000, "CPU in thousandths of a core")
	f.IntVar(&s.MemoryMB, "memory", 1024, "memory in MB")
	f.IntVar(&s.Accelerators, "accelerators", 0, "accelerators")
	f.DurationVar(&s.RunTime, "run-time", time.Minute, "expected run time")
	f.IntVar(&s.Attempts, "attempts", 0, "failed runs after which the job fails; 0 means the controller's default")
	f.BoolVar(&s.Checkpoints, "checkpoints", false, "the task can save its progress before it is stopped")
	f.BoolVar(&s.Throttleable, "throttleable", false, "the task can run on half of its CPU")
	return s
}
