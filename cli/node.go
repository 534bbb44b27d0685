package cli

import (
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/daemon/node"
	"github.com/carobwharf/carobwharf/logging"
	"github.com/carobwharf/carobwharf/metrics"
	platformsettings "github.com/carobwharf/carobwharf/platform/settings"
)

// gcPercent is the GOGC value: the heap growth in percent that starts a garbage
// collection. It is below the default of 100 because memory costs more than CPU
// time on the VMs of the users' platform.
const gcPercent = 40

func newNodeCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "node",
		Short:   "Run the process that accepts and runs jobs on the users' platform",
		Example: "  carobwharf node --settings /etc/carobwharf/settings.toml",
		Args:    usageArgs(cobra.NoArgs),
	}
	level := cmd.Flags().String("log-level", "info", "log level")
	format := cmd.Flags().String("log-format", string(logging.FormatJSON), "log format, text or json")
	path := cmd.Flags().String("settings", platformsettings.Path(), "settings file of the platform")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		set, err := platformsettings.Read(*path)
		if err != nil {
			return usageError(err)
		}
		lines := logging.NewWriter(cmd.OutOrStdout())
		log, err := logging.New(logging.Options{Level: *level, Format: logging.Format(*format), Output: lines})
		if err != nil {
			return usageError(err)
		}
		debug.SetGCPercent(gcPercent)
		// The settings are read only at the start, so SIGHUP has nothing to reload.
		signal.Ignore(syscall.SIGHUP)
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		n, err := node.New(node.Options{Settings: set, Log: log, LogWriter: lines, Metrics: metrics.New(), Version: ReadBuildInfo()})
		if err != nil {
			return err
		}
		return n.Run(ctx)
	}
	return cmd
}
