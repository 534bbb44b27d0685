package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/load"
	"github.com/carobwharf/carobwharf/peer/caller"
)

type loadFlags struct {
	target, mix, history string
	length               time.Duration
	seed                 uint64
	inFlight             int
	asJSON               bool
}

func newLoadCmd() *cobra.Command {
	var f loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send generated load to a gateway and report latency and outcomes",
		Long: "Sends the flows of a mix file to a gateway at their scheduled times, whether or\n" +
			"not earlier calls have ended. Latency is measured from the scheduled start.",
		Example: "  carobwharf load --target 127.0.0.1:8080 --mix load/testdata/lintang.ini --for 1m --rate 0.5 --history run.jsonl",
		Args:    cobra.NoArgs,
	}
	cmd.Flags().StringVar(&f.target, "target", "", "IP:port of a gateway")
	cmd.Flags().StringVar(&f.mix, "mix", "", "mix file (INI)")
	rate := cmd.Flags().Float64("rate", 1, "factor for all rates of the mix")
	cmd.Flags().DurationVar(&f.length, "for", time.Minute, "duration of the schedule")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the schedule")
	cmd.Flags().IntVar(&f.inFlight, "in-flight", 4096, "maximum number of calls in flight; further ones are refused and counted")
	cmd.Flags().StringVar(&f.history, "history", "", "file to write the history to (JSON lines)")
	cmd.Flags().BoolVar(&f.asJSON, "json", false, "print JSON")
	cmd.PreRunE = func(*cobra.Command, []string) error { return checkLoadFlags(f, *rate) }
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return runLoad(cmd, f, *rate) }
	return cmd
}

func checkLoadFlags(f loadFlags, rate float64) error {
	var err error
	switch {
	case f.target == "":
		err = errors.New("--target is required: IP:port of a gateway")
	case f.mix == "":
		err = errors.New("--mix is required: an INI file with [flow NAME] sections")
	case !(rate > 0):
		err = fmt.Errorf("--rate %v: want more than 0", rate)
	case f.length <= 0 || f.inFlight <= 0:
		err = fmt.Errorf("--for %v, --in-flight %d: want more than 0", f.length, f.inFlight)
	}
	if err != nil {
		return &CodedError{Code: ExitUsage, Err: err}
	}
	return nil
}

func runLoad(cmd *cobra.Command, f loadFlags, rate float64) error {
	mix, err := load.ReadMix(f.mix)
	if err != nil {
		return &CodedError{Code: ExitUsage, Err: err}
	}
	for i := range mix {
		mix[i].Rate *= rate
	}
	opt := load.Options{Mix: mix, Seed: f.seed, Length: f.length, MaxInFlight: f.inFlight}
	if f.history != "" {
		file, err := os.Create(f.history)
		if err != nil {
			return fmt.Errorf("create history file: %w", err)
		}
		defer file.Close()
		opt.History = file
	}
	client := caller.NewClient(caller.ClientConfig{Addr: f.target, MaxConnections: f.inFlight})
	defer client.Close()
	res, err := load.Run(cmd.Context(), client, opt)
	if err != nil {
		return err
	}
	if f.asJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(res)
	}
	_, err = fmt.Fprint(cmd.OutOrStdout(), res)
	return err
}
