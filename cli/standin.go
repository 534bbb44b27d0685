package cli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// stopTimeout bounds the stop of a stand-in after SIGTERM.
const stopTimeout = 10 * time.Second

func newStandinCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of an external system for tests and experiments",
	}
	cmd.AddCommand(newStandinPlatformCmd(), newStandinEndpointCmd(), newStandinPassthroughCmd())
	return cmd
}

// server is what the stand-ins have in common.
type server interface {
	Start() error
	Addr() string
	Stop(ctx context.Context) error
}

// serveUntilSignal runs a stand-in until SIGTERM or SIGINT. It prints the
// address when it listens, so that a script can wait for the line. started
// runs after that.
func serveUntilSignal(cmd *cobra.Command, s server, started func() error) error {
	ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := s.Start(); err != nil {
		return err
	}
	err := started()
	if err == nil {
		fmt.Fprintf(cmd.OutOrStdout(), "listening on %s\n", s.Addr())
		<-ctx.Done()
	}
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	if stopErr := s.Stop(stopCtx); err == nil {
		err = stopErr
	}
	return err
}
