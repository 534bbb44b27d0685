package cli

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/configcheck"
	"github.com/carobwharf/carobwharf/publication"
	"github.com/carobwharf/carobwharf/settings"
)

// finding is a problem of an object set with its place in the file.
type finding struct {
	File    string
	Line    int
	Object  string
	Field   string
	Problem string
}

func newCheckCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check an object set",
		Long: `Checks the syntax and the values of an object set and then the set as a whole:
references, shares, budgets, stop plans. All problems are printed with file and
line. The exit code is 0 if the set can be submitted and 1 if it has problems.
The command does not contact a controller.`,
		Example:           "  carobwharf check examples/lintang/fleet.ini\n  carobwharf check --json - < fleet.ini",
		Args:              usageArgs(cobra.ExactArgs(1)),
		ValidArgsFunction: completeINI,
	}
	asJSON := addJSONFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		data, err := readInput(cmd, args[0])
		if err != nil {
			return err
		}
		findings, objects, err := checkObjectSet(args[0], data)
		if err != nil {
			return err
		}
		if *asJSON {
			err = printJSON(cmd, findings)
		} else {
			err = printFindings(cmd, args[0], findings, objects)
		}
		if len(findings) > 0 {
			return errors.Join(err, fmt.Errorf("%s: %d problems", args[0], len(findings)))
		}
		return err
	}
	return cmd
}

// checkObjectSet parses and checks an object set. It returns the problems and the
// number of objects. The set as a whole is checked only if it can be parsed.
// Otherwise the parse errors are returned and the number is 0.
func checkObjectSet(file string, data []byte) ([]finding, int, error) {
	findings := []finding{}
	f, err := settings.ParseObjects(file, data)
	var problems *settings.Problems
	if errors.As(err, &problems) {
		for _, p := range problems.List {
			findings = append(findings, finding{File: file, Line: p.Line, Object: p.Section, Field: p.Key,
				Problem: fmt.Sprintf("%q: want %s", p.Value, p.Want)})
		}
		return findings, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	for _, p := range configcheck.Check(&f.Set) {
		l := finding{File: file, Line: f.Line(p.Object, p.Field), Field: p.Field, Problem: p.Problem}
		if p.Object.Kind != "" {
			l.Object = p.Object.String()
		}
		findings = append(findings, l)
	}
	return findings, len(publication.Refs(&f.Set)), nil
}

func printFindings(cmd *cobra.Command, file string, findings []finding, objects int) error {
	out := cmd.OutOrStdout()
	if len(findings) == 0 {
		_, err := fmt.Fprintf(out, "%s: %d objects, no problems\n", file, objects)
		return err
	}
	for _, f := range findings {
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	return nil
}

// String returns the finding as one line that starts with FILE:LINE:, a format
// that editors can jump to.
func (f finding) String() string {
	text := f.File + ":"
	if f.Line > 0 {
		text += fmt.Sprintf("%d:", f.Line)
	}
	if f.Object != "" {
		text += " [" + f.Object + "]"
	}
	if f.Field != "" {
		text += " " + f.Field + ":"
	}
	return text + " " + f.Problem
}
