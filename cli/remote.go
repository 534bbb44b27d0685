package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/settings"
)

// keyVariable is the environment variable with the operators' key. The key is
// no flag, since other users of the machine can read a command line.
const keyVariable = "CAROBWHARF_OPERATOR_KEY"

// remote holds the flags that say how a controller is reached.
type remote struct {
	addr     string
	keyFile  string
	settings string
	timeout  time.Duration
}

func remoteFlags(cmd *cobra.Command) *remote {
	r := &remote{}
	cmd.Flags().StringVar(&r.addr, "addr", "", "IP:port of a controller's operators' API")
	cmd.Flags().StringVar(&r.keyFile, "key-file", "", "file with the operators' key (default: the variable "+keyVariable+")")
	cmd.Flags().StringVar(&r.settings, "settings", "", "settings file of a controller, for its address and key")
	cmd.Flags().DurationVar(&r.timeout, "timeout", 30*time.Second, "time limit of one call")
	_ = cmd.RegisterFlagCompletionFunc("settings", completeINI) // fails only for an unknown flag
	return r
}

// client returns a client for the controller that the flags name.
func (r *remote) client() (*operator.Client, error) {
	addr, key := r.addr, os.Getenv(keyVariable)
	if r.settings != "" {
		p, err := settings.ReadProcess(r.settings)
		if err != nil {
			return nil, usageError(err)
		}
		key = p.Controller.OperatorKey
		if addr == "" {
			addr = p.Controller.OperatorListen
		}
	}
	if r.keyFile != "" {
		data, err := os.ReadFile(r.keyFile)
		if err != nil {
			return nil, usageError(fmt.Errorf("read key: %w", err))
		}
		key = strings.TrimSpace(string(data))
	}
	if addr == "" {
		return nil, usageError(errors.New("no controller is given: use --addr or --settings"))
	}
	return operator.NewClient(addr, key), nil
}

// call runs one call with the time limit of the flags.
func call[T any](cmd *cobra.Command, r *remote, f func(context.Context, *operator.Client) (T, error)) (T, error) {
	var none T
	c, err := r.client()
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), r.timeout)
	defer cancel()
	reply, err := f(ctx, c)
	return reply, callError(err)
}
