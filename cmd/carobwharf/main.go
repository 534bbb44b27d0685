// Command carobwharf is the fleet capacity and maintenance manager. One binary
// contains the gateway, controller and node processes, the operators' commands,
// and the stand-ins, load generator and experiments for tests.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/carobwharf/carobwharf/cli"
)

func main() {
	ctx := context.Background()
	if err := cli.NewRoot().ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "carobwharf: %v\n", err)
		os.Exit(cli.ExitCode(err))
	}
}
