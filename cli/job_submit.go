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
		Long:  "Submits a job under an id that the submitter chooses. The command may be repeated: a job that exists with the same content is shown as it is.",
		Example: `  carobwharf job submit --settings controller-1.ini --pool umum --team audits --kind bundle \
    --class batch --cores 2000 --memory 4096 --run-time 40m --checkpoints bundle-2031-04`,
		Args: usageArgs(cobra.ExactArgs(1)),
	}
	asJSON, r := jsonFlag(cmd), remoteFlags(cmd)
	spec := specFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		spec.ID = args[0]
		reply, err := repeatUnknown(cmd, func() (operator.JobReply, error) {
			return call(cmd, r, func(ctx context.Context, c *operator.Client) (operator.JobReply, error) {
				return c.SubmitJob(ctx, *spec)
			})
		})
		return printJob(cmd, reply, err, *asJSON)
	}
	return cmd
}

func specFlags(cmd *cobra.Command) *structs.JobSpec {
	s, f := &structs.JobSpec{}, cmd.Flags()
	f.StringVar(&s.Pool, "pool", "", "pool on whose workers the job runs")
	f.StringVar(&s.Team, "team", "", "team that the job counts for")
	f.StringVar(&s.Kind, "kind", "", "name of similar jobs, whose use of resources corrects the declared one")
	f.StringVar((*string)(&s.Class), "class", string(structs.ClassStandard), "urgent, standard or batch")
	f.IntVar(&s.MilliCores, "cores", 1000, "processors in thousandths")
	f.IntVar(&s.MemoryMB, "memory", 1024, "memory in MB")
	f.IntVar(&s.Accelerators, "accelerators", 0, "accelerators")
	f.DurationVar(&s.RunTime, "run-time", time.Minute, "expected run time")
	f.IntVar(&s.Attempts, "attempts", 0, "runs that may fail; 0 means the controller's default")
	f.BoolVar(&s.Checkpoints, "checkpoints", false, "the task can save its progress before it is stopped")
	f.BoolVar(&s.Throttleable, "throttleable", false, "the task works on half of its processors")
	return s
}
