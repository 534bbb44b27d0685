// Package cli defines the commands of the carobwharf binary.
package cli

import (
	"github.com/spf13/cobra"
)

// Exit codes of the binary.
const (
	ExitOK       = 0
	ExitFailure  = 1 // the command ran and failed
	ExitUsage    = 2 // invalid flags, arguments or settings
	ExitConflict = 3 // another operator changed the same objects first
)

// NewRoot returns the root command with all subcommands.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "carobwharf",
		Short:         "Fleet capacity and maintenance manager",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(newCheckCmd(), newSubmitCmd(), newDiffCmd(), newStatusCmd(), newDumpCmd(), newDrainCmd(), newConfigCmd(), newJobCmd())
	root.AddCommand(newControllerCmd(), newGatewayCmd(), newNodeCmd())
	root.AddCommand(newStandinCmd(), newLoadCmd(), newBenchCmd(), newDemoCmd())
	root.AddCommand(newVersionCmd())
	return root
}
