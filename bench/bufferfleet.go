package bench

import (
	"fmt"
	"math"
	"time"

	"github.com/carobwharf/carobwharf/buffer"
	"github.com/carobwharf/carobwharf/structs"
)

// plannerConfig is the planner's configuration in the experiments.
var plannerConfig = buffer.Config{FillAfter: 5 * time.Second, ReturnAfter: time.Minute, MoveInterval: 5 * time.Second, MaxMoves: 8}

// moveLead is the time from a move's begin until the VM serves its new pool:
// drain, confirmation by the gateways and the platform's two writes.
const moveLead = 20 * time.Second

// bufferFleet is the ownership of VMs as a strategy sees it. The last pool is
// the spare pool.
type bufferFleet struct {
	pools   []buffer.PoolState
	moving  []movingVM // in order of arrival
	workers int
}

type movingVM struct {
	vm structs.VM
	to int
	at time.Duration
}

func newBufferFleet(pools, workers int) *bufferFleet {
	f := &bufferFleet{workers: workers}
	for p := range pools {
		f.pools = append(f.pools, buffer.PoolState{Pool: structs.Pool{
			Name: fmt.Sprint("pool", p), Min: 1, Target: workers / pools, Max: 2 * workers / pools, Spread: structs.DomainRack}})
	}
	f.pools = append(f.pools, buffer.PoolState{Pool: structs.Pool{Name: "spare", Spare: true}})
	for i := range workers {
		s := &f.pools[i%pools]
		s.VMs = append(s.VMs, structs.VM{ID: fmt.Sprintf("vm%05d", i), Rack: fmt.Sprint("rack", i/4),
			DataCentre: fmt.Sprint("dc", i%3), Slots: slotsToday, State: structs.VMLive})
		s.Size++
	}
	for i := range f.pools {
		f.pools[i].Target = f.pools[i].Pool.Target
	}
	return f
}

func (f *bufferFleet) index(name string) int {
	for i := range f.pools {
		if f.pools[i].Pool.Name == name {
			return i
		}
	}
	return -1
}

// begin starts a move; the VM serves nobody until it arrives.
func (f *bufferFleet) begin(m buffer.Move, now time.Duration) {
	from, to := &f.pools[f.index(m.From)], f.index(m.To)
	for i, vm := range from.VMs {
		if vm.ID == m.VM {
			from.VMs = append(from.VMs[:i:i], from.VMs[i+1:]...)
			from.Size--
			f.pools[to].Size++
			f.moving = append(f.moving, movingVM{vm, to, now + moveLead})
			return
		}
	}
}

func (f *bufferFleet) arrive(now time.Duration) {
	for len(f.moving) > 0 && f.moving[0].at <= now {
		m := f.moving[0]
		f.moving = f.moving[1:]
		f.pools[m.to].VMs = append(f.pools[m.to].VMs, m.vm)
	}
}

// bufferStrategy decides moves from the demand of the step before.
type bufferStrategy interface {
	moves(now time.Duration, f *bufferFleet, load []float64) []buffer.Move
}

// staticShares never moves a VM.
type staticShares struct{}

func (staticShares) moves(time.Duration, *bufferFleet, []float64) []buffer.Move { return nil }

// thresholds moves one VM of a pool at a time: in above 80% use of its slots,
// out below 50%.
type thresholds struct{}

func (thresholds) moves(_ time.Duration, f *bufferFleet, load []float64) []buffer.Move {
	spare := &f.pools[len(f.pools)-1]
	var out []buffer.Move
	free := spare.VMs
	for i := range load {
		p := &f.pools[i]
		use := load[i] / float64(max(1, p.Size)*slotsToday)
		switch {
		case use > 0.8 && len(free) > 0:
			out = append(out, buffer.Move{VM: free[0].ID, From: spare.Pool.Name, To: p.Pool.Name})
			free = free[1:]
		case use < 0.5 && p.Size > 1 && len(p.VMs) > 0:
			out = append(out, buffer.Move{VM: p.VMs[0].ID, From: p.Pool.Name, To: spare.Pool.Name})
		}
	}
	return out
}

// planned is package buffer: forecast, target and planner. With raw, the
// target follows the observed load instead of the forecast, which shows what
// the forecast costs and saves.
type planned struct {
	raw         bool
	utilisation float64
	forecast    []buffer.Forecast
	planner     *buffer.Planner
}

func newPlanned(pools int, utilisation float64, cfg buffer.Config) *planned {
	return &planned{utilisation: utilisation, forecast: make([]buffer.Forecast, pools), planner: buffer.NewPlanner(cfg)}
}

func (p *planned) moves(now time.Duration, f *bufferFleet, load []float64) []buffer.Move {
	for i := range load {
		p.forecast[i].Observe(load[i])
		expected := p.forecast[i].Upper()
		if p.raw {
			expected = load[i]
		}
		f.pools[i].Target = buffer.Target(f.pools[i].Pool, expected, slotsToday, p.utilisation)
	}
	return p.planner.Plan(epoch.Add(now), f.pools)
}

// bufferScore is what a strategy costs over a trace.
type bufferScore struct {
	hours float64 // VMs held by a pool beyond what its demand needs, in hours
	moves int
	lost  float64 // demand beyond the serving VMs' slots, as a share of all demand
	peak  int     // greatest number of VMs outside the spare pool
}

func scoreBuffer(d *Demand, workers int, s bufferStrategy) bufferScore {
	f := newBufferFleet(len(d.Pools), workers)
	var out bufferScore
	demand, lost := 0.0, 0.0
	load := make([]float64, len(d.Pools))
	for step := range d.Pools[0] {
		now := time.Duration(step) * d.Step
		f.arrive(now)
		if step > 0 {
			for i := range load {
				load[i] = math.Max(0, d.Pools[i][step-1])
			}
			for _, m := range s.moves(now, f, load) {
				f.begin(m, now)
				out.moves++
			}
		}
		held := 0
		for i := range d.Pools {
			p := &f.pools[i]
			held += p.Size
			want := math.Max(0, d.Pools[i][step])
			demand += want
			lost += math.Max(0, want-float64(len(p.VMs)*slotsToday))
			out.hours += float64(max(0, p.Size-d.Workers(i, step, slotsToday))) * d.Step.Hours()
		}
		out.peak = max(out.peak, held)
	}
	out.lost = lost / demand
	return out
}

// offlineBuffer is a lower bound of a plan that knows the trace and loses no
// demand. For each pool and k, the k-th VM is needed in some intervals. In a
// gap between two of them it is kept, which costs its hours, or given away
// and fetched again, which costs one move and the lead; a move away is not
// counted since it may be the move into another pool. keep is the greatest
// gap that is bridged. The bound ignores that the fleet is limited.
func offlineBuffer(d *Demand, workers int, keep time.Duration) bufferScore {
	var out bufferScore
	have := workers / len(d.Pools)
	for p, line := range d.Pools {
		for k := 1; k <= 4*have; k++ {
			last, held := -1, k <= have // the last step at which the VM was needed
			for step := range line {
				if d.Workers(p, step, slotsToday) < k {
					continue
				}
				gap := time.Duration(step-last-1) * d.Step
				switch {
				case held && gap <= keep:
					out.hours += gap.Hours()
				default:
					out.moves++
					out.hours += moveLead.Hours()
				}
				last, held = step, true
			}
		}
	}
	for step := range d.Pools[0] {
		need := 0
		for p := range d.Pools {
			need += d.Workers(p, step, slotsToday)
		}
		out.peak = max(out.peak, need)
	}
	return out
}
