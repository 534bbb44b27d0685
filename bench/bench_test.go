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

// Guards against experiments that lose a table or plot of their result, and
// against figures that differ between runs with the same seed. Columns with
// wall-clock times are not compared.
func TestExperimentsAreReproducibleAndWriteFiles(t *testing.T) {
	wallClock := map[string]int{"placement_steady": 2, "placement_burst": 1, "slopes": 3} // number of such columns at the end
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
	require.ErrorIs(t, err, ErrUnknownExperiment)
}

// Guards against demand that differs from that of real deployments, on which the
// buffer would be judged wrongly: peaks of 5 times the mean, which exceed the
// pool's slots, and 1/20 of the mean in between.
func TestDemandShape(t *testing.T) {
	o := DefaultDemand()
	o.Jitter = 0
	d := NewDemand(o, 1)
	for _, demand := range d.Pools {
		sum, above, low := 0.0, 0, 0
		for _, v := range demand {
			sum += v
			if v > workersPerPool*slotsPerWorker {
				above++
			}
			if v < 1.3*o.Mean*offPeakFactor {
				low++
			}
		}
		require.InEpsilon(t, o.Mean, sum/float64(len(demand)), 0.03)
		require.InDelta(t, 0.19, float64(above)/float64(len(demand)), 0.03)
		require.InDelta(t, 0.77, float64(low)/float64(len(demand)), 0.05)
	}
}

// Guards against an offline bound that is too high, which would make a poor plan
// look good. The expected values are calculated by hand for a small trace.
func TestOfflineBoundOfSmallTrace(t *testing.T) {
	// One pool that has one VM and needs 1, 0, 0 and 2 VMs of 8 slots in steps of a
	// minute.
	d := &Demand{Step: time.Minute, Pools: [][]float64{{8, 0, 0, 16}}}
	moveHours := moveDuration.Hours()
	kept := offlineBound(d, 1, 2*time.Minute) // the first VM is kept for 2 minutes, the second is fetched
	require.InDelta(t, 2.0/60+moveHours, kept.bufferHours, 1e-9)
	require.Equal(t, 1, kept.moves)
	returned := offlineBound(d, 1, time.Minute) // both VMs are fetched
	require.InDelta(t, 2*moveHours, returned.bufferHours, 1e-9)
	require.Equal(t, 2, returned.moves)
	static := scoreStrategy(d, 1, staticStrategy{})
	require.InDelta(t, 2.0/60, static.bufferHours, 1e-9)
	require.InDelta(t, 8.0/24, static.lostShare, 1e-9)
}

// Guards against a VM that serves a pool while it moves, which would make moves
// look free.
func TestMovingVMServesNoPool(t *testing.T) {
	f := newBufferFleet(2, 4)
	f.startMove(buffer.Move{VM: f.pools[0].VMs[0].ID, From: "pool0", To: "pool1"}, 0)
	f.completeMoves(moveDuration - 1)
	require.Equal(t, []int{1, 2, 1, 3}, []int{len(f.pools[0].VMs), len(f.pools[1].VMs), f.pools[0].Size, f.pools[1].Size})
	f.completeMoves(moveDuration)
	require.Len(t, f.pools[1].VMs, 3)
}
