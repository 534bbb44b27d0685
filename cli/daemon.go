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

// role is a process that runs until its context ends.
type role interface {
	Run(ctx context.Context) error
}

func newControllerCmd() *cobra.Command {
	return newDaemonCmd(&cobra.Command{
		Use:     "controller",
		Short:   "Run the process that faces operators and the platform",
		Example: "  carobwharf controller --settings examples/lintang/controller-1.ini",
	}, func(o process.Options) (role, error) { return process.NewController(o) })
}

func newGatewayCmd() *cobra.Command {
	return newDaemonCmd(&cobra.Command{
		Use:     "gateway",
		Short:   "Run the process that faces callers and endpoints",
		Example: "  carobwharf gateway --settings examples/lintang/gateway-1.ini",
	}, func(o process.Options) (role, error) { return process.NewGateway(o) })
}

// newDaemonCmd completes a command that loads settings and runs a role until
// an interrupt or a termination signal.
func newDaemonCmd(cmd *cobra.Command, build func(process.Options) (role, error)) *cobra.Command {
	file := cmd.Flags().String("settings", "", "settings file (required)")
	_ = cmd.MarkFlagRequired("settings")                        // fails only for an unknown flag
	_ = cmd.RegisterFlagCompletionFunc("settings", completeINI) // fails only for an unknown flag
	format := cmd.Flags().String("log-format", "", "log format, text or json (default: that of the settings)")
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
