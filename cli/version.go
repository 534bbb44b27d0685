package cli

import (
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// BuildInfo identifies the binary.
type BuildInfo struct {
	Version  string
	Revision string
	Go       string
}

// ReadBuildInfo returns the build information that the Go toolchain recorded in
// the binary.
func ReadBuildInfo() BuildInfo {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return BuildInfo{Version: "unknown"}
	}
	b := BuildInfo{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			b.Revision = s.Value
		}
	}
	return b
}

func newVersionCmd() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this binary",
		Example: "  carobwharf version --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b := ReadBuildInfo()
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(b)
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "carobwharf %s (%s, %s)\n", b.Version, b.Revision, b.Go)
			return err
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}
