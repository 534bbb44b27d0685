package cli

import (
	"context"
	"errors"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/daemon/controller"
	"github.com/carobwharf/carobwharf/logging"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/store"
)

// Run runs a role until ctx ends.
type Run func(ctx context.Context, s settings.Process, log hclog.Logger, m *metrics.Registry) error

// RunGateway runs the gateway role. It is set by the package that wires the
// gateway.
var RunGateway Run

// RunController runs the controller role.
var RunController Run = runController

// OpenPlatform connects to the platform. It is set by the package that chooses
// the adapter.
var OpenPlatform func(s settings.Process, log hclog.Logger, m *metrics.Registry) (store.Platform, error)

func newControllerCmd() *cobra.Command {
	return newDaemonCmd(&cobra.Command{
		Use:     "controller",
		Short:   "Run the process that faces operators and the platform",
		Example: "  carobwharf controller --settings examples/lintang/controller-1.ini",
	}, &RunController)
}

func newGatewayCmd() *cobra.Command {
	return newDaemonCmd(&cobra.Command{
		Use:     "gateway",
		Short:   "Run the process that faces callers and endpoints",
		Example: "  carobwharf gateway --settings examples/lintang/gateway-1.ini",
	}, &RunGateway)
}

// newDaemonCmd completes a command that loads settings and runs a role until
// an interrupt or a termination signal.
func newDaemonCmd(cmd *cobra.Command, run *Run) *cobra.Command {
	file := cmd.Flags().String("settings", "", "settings file (required)")
	_ = cmd.MarkFlagRequired("settings")                        // fails only for an unknown flag
	_ = cmd.RegisterFlagCompletionFunc("settings", completeINI) // fails only for an unknown flag
	cmd.Args = usageArgs(cobra.NoArgs)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s, err := settings.ReadProcess(*file)
		if err != nil {
			return usageError(err)
		}
		log, err := logging.New(logging.Options{Level: s.Log.Level, Format: logging.Format(s.Log.Format), Output: cmd.ErrOrStderr()})
		if err != nil {
			return usageError(err)
		}
		if *run == nil {
			return errors.New("this binary does not contain the role " + cmd.Name())
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		return (*run)(ctx, s, log, metrics.New())
	}
	return cmd
}

func runController(ctx context.Context, s settings.Process, log hclog.Logger, m *metrics.Registry) error {
	if OpenPlatform == nil {
		return errors.New("this binary does not contain an adapter to the platform")
	}
	platform, err := OpenPlatform(s, log, m)
	if err != nil {
		return err
	}
	c, err := controller.New(controller.Options{Settings: s, Platform: platform, Log: log, Metrics: m, Version: ReadBuildInfo()})
	if err != nil {
		return err
	}
	return c.Run(ctx)
}
