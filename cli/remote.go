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

// operatorKeyEnv is the environment variable with the operators' key. There is no
// flag for the key because other users of the machine can read a command line.
const operatorKeyEnv = "CAROBWHARF_OPERATOR_KEY"

// controllerFlags holds the flags for the address, key and timeout of calls to a
// controller.
type controllerFlags struct {
	addr     string
	keyFile  string
	settings string
	timeout  time.Duration
}

func addControllerFlags(cmd *cobra.Command) *controllerFlags {
	r := &controllerFlags{}
	cmd.Flags().StringVar(&r.addr, "addr", "", "IP:port of the operators' API of a controller")
	cmd.Flags().StringVar(&r.keyFile, "key-file", "", "file with the operators' key (default: the environment variable "+operatorKeyEnv+")")
	cmd.Flags().StringVar(&r.settings, "settings", "", "settings file of a controller, to read its address and key from")
	cmd.Flags().DurationVar(&r.timeout, "timeout", 30*time.Second, "time limit of one call")
	_ = cmd.RegisterFlagCompletionFunc("settings", completeINI) // fails only for an unknown flag
	return r
}

// client returns a client for the controller that the flags specify.
func (r *controllerFlags) client() (*operator.Client, error) {
	addr, key := r.addr, os.Getenv(operatorKeyEnv)
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
			return nil, usageError(fmt.Errorf("read operators' key: %w", err))
		}
		key = strings.TrimSpace(string(data))
	}
	if addr == "" {
		return nil, usageError(errors.New("no controller address given: use --addr or --settings"))
	}
	return operator.NewClient(addr, key), nil
}

// callController calls f with a client for the controller and the timeout that
// the flags set.
func callController[T any](cmd *cobra.Command, r *controllerFlags, f func(context.Context, *operator.Client) (T, error)) (T, error) {
	var none T
	c, err := r.client()
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), r.timeout)
	defer cancel()
	reply, err := f(ctx, c)
	return reply, apiError(err)
}
