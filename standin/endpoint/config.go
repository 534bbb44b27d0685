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
	Legacy      structs.Legacy
	Mean        time.Duration // mean service time
	Sigma       float64       // sigma of the lognormal service time; 0 makes it constant
	FillerBytes int           // size of the filler in each answer, in bytes
}

// Config configures a Server.
type Config struct {
	Control  string       // IP:port of the control interface; port 0 selects a free port
	VMs      []structs.VM // one endpoint is started for each, at VM.Addr
	Services map[string]Service
	Default  Service // for services that are not in Services
	Seed     uint64
	// MaxEffects limits the effect log; effects beyond it are only counted.
	MaxEffects int
}

// DefaultConfig returns a configuration without endpoints. Its effect log holds
// one hour at 290 requests/s.
func DefaultConfig() Config {
	return Config{
		Control:    "127.0.0.1:0",
		Default:    Service{Legacy: structs.LegacyNone, Mean: 10 * time.Millisecond},
		Seed:       1,
		MaxEffects: 1 << 20,
	}
}

// Fleet returns n VMs with consecutive addresses, starting at first. VMs are
// assigned to the data centres in turn and to racks of vmsPerRack VMs.
func Fleet(n int, first string, port int, dataCentres []string, slots, connections int) ([]structs.VM, error) {
	ip := net.ParseIP(first).To4()
	if ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("first address %q: want a loopback IPv4 address", first)
	}
	if n < 1 || slots < 1 || connections < 1 {
		return nil, fmt.Errorf("%d endpoints with %d slots and %d connections: want at least one each", n, slots, connections)
	}
	if len(dataCentres) == 0 {
		return nil, fmt.Errorf("no data centre given: want at least one")
	}
	vms := make([]structs.VM, n)
	for i := range vms {
		dc := dataCentres[i%len(dataCentres)]
		vms[i] = structs.VM{
			ID:          fmt.Sprintf("vm-%03d", i+1),
			Addr:        net.JoinHostPort(addToIP(ip, i).String(), strconv.Itoa(port)),
			DataCentre:  dc,
			Rack:        fmt.Sprintf("%s-r%02d", dc, i/len(dataCentres)/vmsPerRack+1),
			State:       structs.VMLive,
			Cores:       16,
			MemoryMB:    32 << 10,
			Slots:       slots,
			Connections: connections,
		}
	}
	return vms, nil
}

const vmsPerRack = 4 // as in current deployments

func addToIP(ip net.IP, n int) net.IP {
	v := uint32(ip[0])<<24 | uint32(ip[1])<<16 | uint32(ip[2])<<8 | uint32(ip[3])
	v += uint32(n)
	return net.IPv4(byte(v>>24), byte(v>>16), byte(v>>8), byte(v))
}

// sample draws a service time from the service's distribution.
func (s *Service) sample(rng *rand.Rand) time.Duration {
	if s.Sigma <= 0 {
		return s.Mean
	}
	// The mean of exp(N(mu, sigma)) is exp(mu + sigma^2/2).
	mu := math.Log(float64(s.Mean)) - s.Sigma*s.Sigma/2
	return time.Duration(math.Exp(mu + s.Sigma*rng.NormFloat64()))
}
