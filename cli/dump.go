package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/settings"
)

func newDumpCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "dump",
		Short:   "Print the state of every duty of a process as JSON",
		Example: "  carobwharf dump --addr 127.0.0.1:7101\n  carobwharf dump --settings gateway-1.ini --metrics",
		Args:    usageArgs(cobra.NoArgs),
	}
	addr := cmd.Flags().String("addr", "", "admin address of the process, IP:port")
	file := cmd.Flags().String("settings", "", "settings file of the process, for its admin address")
	withMetrics := cmd.Flags().Bool("metrics", false, "print the metrics instead of the state")
	timeout := cmd.Flags().Duration("timeout", 5*time.Second, "time limit")
	_ = cmd.Flags().Bool("json", true, "print JSON; other formats are not supported")
	_ = cmd.RegisterFlagCompletionFunc("settings", completeINI) // fails only for an unknown flag
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		admin, err := adminAddr(*addr, *file)
		if err != nil {
			return usageError(err)
		}
		path := "/dump"
		if *withMetrics {
			path = "/metrics"
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), *timeout)
		defer cancel()
		body, err := operator.NewClient(admin, "").Admin(ctx, path)
		if err != nil {
			return apiError(err)
		}
		var out bytes.Buffer
		if err := json.Indent(&out, body, "", "  "); err != nil {
			return fmt.Errorf("decode %s of %s: %w", path, admin, err)
		}
		_, err = out.WriteTo(cmd.OutOrStdout())
		return err
	}
	return cmd
}

func adminAddr(addr, file string) (string, error) {
	if addr != "" {
		return addr, nil
	}
	if file == "" {
		return "", errors.New("no process address given: use --addr or --settings")
	}
	p, err := settings.ReadProcess(file)
	return p.AdminListen, err
}
