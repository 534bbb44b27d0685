package cli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// stopTimeout is the time limit for stopping a stand-in after a signal.
const stopTimeout = 10 * time.Second

func newStandinCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of an external system for tests and experiments",
	}
	cmd.AddCommand(newStandinPlatformCmd(), newStandinEndpointCmd(), newStandinPassthroughCmd())
	return cmd
}

// server is the common interface of the stand-ins.
type server interface {
	Start() error
	Addr() string
	Stop(ctx context.Context) error
}

// serveUntilSignal runs a stand-in until SIGTERM or SIGINT. It calls onListening
// once the stand-in listens and then prints the address, so that a script can wait
// for that line. An error of onListening stops the stand-in.
func serveUntilSignal(cmd *cobra.Command, s server, onListening func() error) error {
	ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := s.Start(); err != nil {
		return err
	}
	err := onListening()
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
