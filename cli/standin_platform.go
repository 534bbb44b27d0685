package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/standin/endpoint"
	"github.com/carobwharf/carobwharf/standin/platform"
)

func newStandinPlatformCmd() *cobra.Command {
	cfg := platform.DefaultConfig()
	var vmFile, endpointControl string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in of the platform: table, objects, VM list, workers",
		Long: "Runs a stand-in of the platform. Faults can be changed while it runs:\n" +
			`  curl -d '{"outage": true}' http://ADDR/faults`,
		Example: "  carobwharf standin platform --listen 127.0.0.1:7000 --write-rate 300 --vm-lag 2s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := readJSONFile(vmFile, &cfg.VMs); err != nil {
				return &CodedError{Code: ExitUsage, Err: err}
			}
			if endpointControl != "" {
				cfg.Power = func(vm string, on bool) error { return endpoint.SetRemoteDown(endpointControl, vm, !on) }
			}
			return serveUntilSignal(cmd, platform.New(cfg), func() error { return nil })
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Listen, "listen", cfg.Listen, "IP:port; port 0 picks a free one")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of the fault probabilities")
	f.Float64Var(&cfg.Faults.WriteRate, "write-rate", cfg.Faults.WriteRate, "maximum writes/s; further writes are refused; 0 means no limit")
	f.Float64Var(&cfg.Faults.ReadRate, "read-rate", cfg.Faults.ReadRate, "maximum reads/s; further reads are refused; 0 means no limit")
	f.DurationVar((*time.Duration)(&cfg.Faults.Delay), "delay", 0, "delay of every answer, such as 5ms")
	f.DurationVar((*time.Duration)(&cfg.Faults.VMLag), "vm-lag", time.Second, "age of the VM list and of usage reports")
	f.Float64Var(&cfg.Faults.LoseAnswer, "lose-answer", 0, "probability that a write is applied but its answer is lost")
	f.Float64Var(&cfg.Faults.RefuseWrite, "refuse-write", 0, "probability that a write is refused")
	f.Float64Var(&cfg.Faults.RunSigma, "run-sigma", 0, "sigma of the lognormal factor between declared and actual run time of tasks; 0 makes them equal")
	f.Float64Var(&cfg.Faults.UsageSigma, "usage-sigma", 0, "sigma of the lognormal factor between declared and actual resource usage of tasks; 0 makes them equal")
	f.StringSliceVar(&cfg.Faults.FailWorkers, "fail-worker", nil, "VM on which every task fails; repeatable")
	f.DurationVar(&cfg.RebootTime, "reboot-time", cfg.RebootTime, "time that a rebooting VM is missing from the list")
	f.StringVar(&vmFile, "vms", "", "JSON file with the VM list; an endpoint stand-in can register its own with --register")
	f.StringVar(&endpointControl, "endpoints", "", "control address (IP:port) of the endpoint stand-in; an endpoint is down while its VM reboots")
	return cmd
}

// readJSONFile decodes a JSON file into v. An empty path leaves v unchanged.
func readJSONFile(path string, v any) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}
