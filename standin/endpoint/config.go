package endpoint

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Service describes how endpoints serve one service.
type Service struct {
	Legacy structs.Legacy
	Mean   time.Duration // service time
	Sigma  float64       // of the lognormal distribution; 0 makes each service time the mean
	Answer int           // bytes of filling in each answer
}

// Config configures a Server.
type Config struct {
	Control  string       // IP:port of faults, effects and state; port 0 picks a free one
	VMs      []structs.VM // one endpoint each, at VM.Addr
	Services map[string]Service
	Default  Service // for services that are not in the map
	Seed     uint64
	// MaxEffects bounds the log of effects; later effects are only counted.
	MaxEffects int
}

// DefaultConfig returns a configuration without endpoints. The log of effects
// holds an hour of 290 requests/s.
func DefaultConfig() Config {
	return Config{
		Control:    "127.0.0.1:0",
		Default:    Service{Legacy: structs.LegacyNone, Mean: 10 * time.Millisecond},
		Seed:       1,
		MaxEffects: 1 << 20,
	}
}

// Fleet returns n VMs with consecutive addresses from first on, in racks of
// four over the data centres.
func Fleet(n int, first string, port int, dataCentres []string, slots, connections int) ([]structs.VM, error) {
	ip := net.ParseIP(first).To4()
	if ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("first address %q: want a loopback IPv4 address", first)
	}
	if n < 1 || slots < 1 || connections < 1 {
		return nil, fmt.Errorf("%d endpoints with %d slots and %d connections: want at least one each", n, slots, connections)
	}
	if len(dataCentres) == 0 {
		return nil, fmt.Errorf("no data centre given")
	}
	vms := make([]structs.VM, n)
	for i := range vms {
		dc := dataCentres[i%len(dataCentres)]
		vms[i] = structs.VM{
			ID:          fmt.Sprintf("vm-%03d", i+1),
			Addr:        net.JoinHostPort(offset(ip, i).String(), strconv.Itoa(port)),
			DataCentre:  dc,
			Rack:        fmt.Sprintf("%s-r%02d", dc, i/len(dataCentres)/rackSize+1),
			State:       structs.VMLive,
			Cores:       16,
			MemoryMB:    32 << 10,
			Slots:       slots,
			Connections: connections,
		}
	}
	return vms, nil
}

const rackSize = 4 // workers in a rack, as in today's deployments

func offset(ip net.IP, n int) net.IP {
	v := uint32(ip[0])<<24 | uint32(ip[1])<<16 | uint32(ip[2])<<8 | uint32(ip[3])
	v += uint32(n)
	return net.IPv4(byte(v>>24), byte(v>>16), byte(v>>8), byte(v))
}

// sample draws a service time.
func (s *Service) sample(rng *rand.Rand) time.Duration {
	if s.Sigma <= 0 {
		return s.Mean
	}
	// exp(N(mu, sigma)) has the mean exp(mu + sigma^2/2).
	mu := math.Log(float64(s.Mean)) - s.Sigma*s.Sigma/2
	return time.Duration(math.Exp(mu + s.Sigma*rng.NormFloat64()))
}
