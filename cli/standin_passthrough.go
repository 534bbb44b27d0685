package cli

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/standin/passthrough"
)

func newStandinPassthroughCmd() *cobra.Command {
	var cfg passthrough.Config
	cmd := &cobra.Command{
		Use:     "passthrough",
		Short:   "Run a plain forwarder as the baseline for the gateway's performance",
		Example: "  carobwharf standin passthrough --listen 127.0.0.1:7001 --endpoint 127.0.1.1:8080 --endpoint 127.0.1.2:8080",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := passthrough.New(cfg)
			if err != nil {
				return usageError(err)
			}
			return serveUntilSignal(cmd, s, func() error { return nil })
		},
	}
	cmd.Flags().StringVar(&cfg.Listen, "listen", "127.0.0.1:0", "IP:port; port 0 picks a free one")
	cmd.Flags().StringSliceVar(&cfg.Endpoints, "endpoint", nil, "IP:port of an endpoint; repeatable")
	cmd.Flags().DurationVar(&cfg.Timeout, "timeout", 5*time.Second, "time limit of a forwarded request")
	return cmd
}
