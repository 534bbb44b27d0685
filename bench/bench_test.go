package bench

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/buffer"
)

// An experiment must write every table and plot that it made, and the same
// seed must give the same figures; wall-clock columns are left out.
func TestExperimentsWriteReproducibleFiles(t *testing.T) {
	wallClock := map[string]int{"placement_steady": 2, "placement_burst": 1, "slopes": 3} // columns at the end
	for _, e := range All() {
		t.Run(e.Name, func(t *testing.T) {
			var first *Result
			for range 2 {
				r, err := e.Run(context.Background(), &Env{Seed: 3, Quick: true})
				require.NoError(t, err)
				if first == nil {
					first = r
					continue
				}
				for i, table := range r.Tables {
					for k, row := range table.Rows {
						n := len(row) - wallClock[table.Name]
						require.Equal(t, first.Tables[i].Rows[k][:n], row[:n], table.Name)
					}
				}
			}
			dir := t.TempDir()
			require.NoError(t, first.Write(dir))
			for _, table := range first.Tables {
				data, err := os.ReadFile(filepath.Join(dir, table.Name+".csv"))
				require.NoError(t, err)
				require.Equal(t, len(table.Rows)+1, bytes.Count(data, []byte("\n")))
			}
			for _, p := range first.Plots {
				data, err := os.ReadFile(filepath.Join(dir, p.Name+".png"))
				require.NoError(t, err)
				require.True(t, bytes.HasPrefix(data, []byte("\x89PNG")))
			}
		})
	}
	_, err := Find("nothing")
	require.ErrorIs(t, err, ErrUnknown)
}

// Demand must have the shape that the deployments report, or the buffer would
// be judged on another problem: 5 times the mean at the peak, more than the
// pool holds, and 1/20 in between.
func TestDemandShape(t *testing.T) {
	o := DefaultDemand()
	o.Jitter = 0
	d := NewDemand(o, 1)
	for _, line := range d.Pools {
		sum, above, low := 0.0, 0, 0
		for _, v := range line {
			sum += v
			if v > workersToday*slotsToday {
				above++
			}
			if v < 1.3*o.Mean*lowFactor {
				low++
			}
		}
		require.InEpsilon(t, o.Mean, sum/float64(len(line)), 0.03)
		require.InDelta(t, 0.19, float64(above)/float64(len(line)), 0.03)
		require.InDelta(t, 0.77, float64(low)/float64(len(line)), 0.05)
	}
}

// A bound that counts too much would make a poor plan look good: the figures
// of a trace that is simple enough to work out by hand.
func TestOfflineBoundByHand(t *testing.T) {
	// One pool that has one VM and needs 1 0 0 2 VMs of 8 slots in steps of a minute.
	d := &Demand{Step: time.Minute, Pools: [][]float64{{8, 0, 0, 16}}}
	lead := moveLead.Hours()
	kept := offlineBuffer(d, 1, 2*time.Minute) // first VM kept for 2 minutes, second fetched
	require.InDelta(t, 2.0/60+lead, kept.hours, 1e-9)
	require.Equal(t, 1, kept.moves)
	given := offlineBuffer(d, 1, time.Minute) // both fetched
	require.InDelta(t, 2*lead, given.hours, 1e-9)
	require.Equal(t, 2, given.moves)
	static := scoreBuffer(d, 1, staticShares{})
	require.InDelta(t, 2.0/60, static.hours, 1e-9)
	require.InDelta(t, 8.0/24, static.lost, 1e-9)
}

// A VM in transit must serve nobody, or moves would look free.
func TestMovingVMServesNobody(t *testing.T) {
	f := newBufferFleet(2, 4)
	f.begin(buffer.Move{VM: f.pools[0].VMs[0].ID, From: "pool0", To: "pool1"}, 0)
	f.arrive(moveLead - 1)
	require.Equal(t, []int{1, 2, 1, 3}, []int{len(f.pools[0].VMs), len(f.pools[1].VMs), f.pools[0].Size, f.pools[1].Size})
	f.arrive(moveLead)
	require.Len(t, f.pools[1].VMs, 3)
}
