package cli

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/carobwharf/carobwharf/standin/endpoint"
	"github.com/carobwharf/carobwharf/structs"
)

// endpointFlags holds the flags of `standin endpoint` that are converted before
// they are stored in the configuration.
type endpointFlags struct {
	count, port, slots, connections int
	firstAddr, register             string
	dataCentres, services           []string
}

func newStandinEndpointCmd() *cobra.Command {
	cfg := endpoint.DefaultConfig()
	var fl endpointFlags
	cmd := &cobra.Command{
		Use:   "endpoint",
		Short: "Run a stand-in of several endpoints, each with its own address",
		Long: "Runs a stand-in of endpoints. Faults of one or all of them can be changed while it runs:\n" +
			`  curl -d '{"endpoint": "vm-001", "faults": {"slow": "200ms"}}' http://CONTROL/faults`,
		Example: "  carobwharf standin endpoint --count 50 --first 127.0.1.1 --port 8080 \\\n" +
			"    --service payout=mean:20ms,sigma:0.5,legacy:close --register 127.0.0.1:7000",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := fl.apply(&cfg); err != nil {
				return &CodedError{Code: ExitUsage, Err: err}
			}
			s := endpoint.New(cfg)
			return serveUntilSignal(cmd, s, func() error {
				if fl.register == "" {
					return nil
				}
				return endpoint.RegisterVMs(fl.register, s.VMs())
			})
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Control, "control", cfg.Control, "IP:port of the control server (faults, effects, state); port 0 picks a free one")
	f.IntVar(&fl.count, "count", 1, "number of endpoints")
	f.StringVar(&fl.firstAddr, "first", "127.0.1.1", "loopback address of the first endpoint; the others use the following addresses")
	f.IntVar(&fl.port, "port", 8080, "port of all endpoints; 0 picks free ones")
	f.StringSliceVar(&fl.dataCentres, "dc", []string{"dc1", "dc2", "dc3"}, "data centres over which the endpoints are spread")
	f.IntVar(&fl.slots, "slots", 8, "requests that an endpoint executes concurrently; further ones get 429")
	f.IntVar(&fl.connections, "connections", 64, "connections that an endpoint serves; requests on further ones get 429")
	f.DurationVar(&cfg.Default.Mean, "mean", cfg.Default.Mean, "mean service time")
	f.Float64Var(&cfg.Default.Sigma, "sigma", 0, "sigma of the lognormal service time; 0 makes it constant")
	f.IntVar(&cfg.Default.FillerBytes, "answer", 0, "padding bytes in each answer")
	f.StringArrayVar(&fl.services, "service", nil, "NAME=KEY:VALUE,... with the keys mean, sigma, answer, legacy; repeatable")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of service times and fault probabilities")
	f.IntVar(&cfg.MaxEffects, "max-effects", cfg.MaxEffects, "maximum number of entries in the log of effects; later ones are only counted")
	f.StringVar(&fl.register, "register", "", "IP:port of the platform stand-in whose VM list is replaced")
	return cmd
}

func (fl *endpointFlags) apply(cfg *endpoint.Config) error {
	vms, err := endpoint.Fleet(fl.count, fl.firstAddr, fl.port, fl.dataCentres, fl.slots, fl.connections)
	if err != nil {
		return err
	}
	cfg.VMs = vms
	cfg.Services = make(map[string]endpoint.Service)
	for _, text := range fl.services {
		name, service, err := parseService(text, cfg.Default)
		if err != nil {
			return err
		}
		cfg.Services[name] = service
	}
	return nil
}

// parseService parses NAME=KEY:VALUE,... and returns the name and the service.
// Keys that are absent keep the value of base.
func parseService(spec string, base endpoint.Service) (string, endpoint.Service, error) {
	name, options, _ := strings.Cut(spec, "=")
	if name == "" {
		return "", base, fmt.Errorf("service %q: want NAME=KEY:VALUE[,KEY:VALUE...]", spec)
	}
	for _, pair := range strings.Split(options, ",") {
		if pair == "" {
			continue
		}
		key, value, _ := strings.Cut(pair, ":")
		if err := setServiceOption(&base, key, value); err != nil {
			return "", base, fmt.Errorf("service %s: %s: %w", name, key, err)
		}
	}
	return name, base, nil
}

func setServiceOption(s *endpoint.Service, key, value string) (err error) {
	switch key {
	case "mean":
		s.Mean, err = time.ParseDuration(value)
	case "sigma":
		s.Sigma, err = strconv.ParseFloat(value, 64)
	case "answer":
		s.FillerBytes, err = strconv.Atoi(value)
	case "legacy":
		switch l := structs.Legacy(value); l {
		case structs.LegacyNone, structs.LegacyClose, structs.LegacyChunked, structs.LegacyStatus200:
			s.Legacy = l
		default:
			err = fmt.Errorf("%q: want none, close, chunked or status200", value)
		}
	default:
		err = fmt.Errorf("unknown key, want mean, sigma, answer or legacy")
	}
	return err
}
