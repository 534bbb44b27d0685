// Command carobwharf is the fleet capacity and maintenance manager: gateway,
// controller, operator commands and stand-ins in one binary.
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
