package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/daemon/process"
	"github.com/carobwharf/carobwharf/logging"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/settings"
)

// daemon is a gateway or controller process. Run returns after ctx ends.
type daemon interface {
	Run(ctx context.Context) error
}

func newControllerCmd() *cobra.Command {
	return newDaemonCmd(&cobra.Command{
		Use:     "controller",
		Short:   "Run a controller, which serves operators and manages the pools on the platform",
		Example: "  carobwharf controller --settings examples/lintang/controller-1.ini",
	}, func(o process.Options) (daemon, error) { return process.NewController(o) })
}

func newGatewayCmd() *cobra.Command {
	return newDaemonCmd(&cobra.Command{
		Use:     "gateway",
		Short:   "Run a gateway, which forwards callers' requests to endpoints",
		Example: "  carobwharf gateway --settings examples/lintang/gateway-1.ini",
	}, func(o process.Options) (daemon, error) { return process.NewGateway(o) })
}

// newDaemonCmd adds flags and a run function to cmd. The command loads the
// settings and runs the process that build returns until SIGINT or SIGTERM.
func newDaemonCmd(cmd *cobra.Command, build func(process.Options) (daemon, error)) *cobra.Command {
	file := cmd.Flags().String("settings", "", "settings file (required)")
	_ = cmd.MarkFlagRequired("settings")                        // fails only for an unknown flag
	_ = cmd.RegisterFlagCompletionFunc("settings", completeINI) // fails only for an unknown flag
	format := cmd.Flags().String("log-format", "", "log format, text or json (default: the format in the settings)")
	cmd.Args = usageArgs(cobra.NoArgs)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s, err := settings.ReadProcess(*file)
		if err != nil {
			return usageError(err)
		}
		if *format != "" {
			s.Log.Format = *format
		}
		log, err := logging.New(logging.Options{Level: s.Log.Level, Format: logging.Format(s.Log.Format), Output: cmd.ErrOrStderr()})
		if err != nil {
			return usageError(err)
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		p, err := build(process.Options{Settings: s, Log: log, Metrics: metrics.New(), Version: ReadBuildInfo()})
		if err != nil {
			return err
		}
		return p.Run(ctx)
	}
	return cmd
}
