// Command carobwharf is the fleet capacity and maintenance manager: gateway,
// controller, operator commands and stand-ins in one binary.
package main

import (
	"fmt"
	"os"

	"github.com/carobwharf/carobwharf/cli"
)

func main() {
	if err := cli.NewRoot().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "carobwharf: %v\n", err)
		os.Exit(cli.ExitCode(err))
	}
}
