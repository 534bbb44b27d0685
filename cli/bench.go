package cli

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/bench"
)

func newBenchCmd() *cobra.Command {
	var out string
	var seed uint64
	cmd := &cobra.Command{
		Use:     "bench NAME",
		Short:   "Run an experiment and write its tables and plots",
		Long:    "Runs an experiment on the decision packages and writes its tables (text and CSV)\nand plots (PNG) to a directory. Experiments:\n" + describeExperiments(),
		Example: "  carobwharf bench placement --out /tmp/placement --seed 1",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			exp, err := bench.Find(args[0])
			if err != nil {
				return &CodedError{Code: ExitUsage, Err: err}
			}
			if out == "" {
				return &CodedError{Code: ExitUsage, Err: errors.New("--out is required: a directory")}
			}
			res, err := exp.Run(cmd.Context(), &bench.Env{Seed: seed, Log: cmd.ErrOrStderr()})
			if err != nil {
				return fmt.Errorf("experiment %s: %w", exp.Name, err)
			}
			for _, t := range res.Tables {
				if len(t.Rows) <= 100 {
					if err := t.WriteText(cmd.OutOrStdout()); err != nil {
						return err
					}
					fmt.Fprintln(cmd.OutOrStdout())
				}
			}
			return res.Write(filepath.Clean(out))
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "directory for the results")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the generated traces")
	return cmd
}

func describeExperiments() string {
	s := ""
	for _, e := range bench.All() {
		s += fmt.Sprintf("  %-10s %s\n", e.Name, e.Doc)
	}
	return s
}
