package bench

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// An experiment must write every table and plot that it made, and the same
// seed must give the same figures; wall-clock columns are left out.
func TestExperimentsWriteReproducibleFiles(t *testing.T) {
	wallClock := map[string]int{"placement_steady": 2, "placement_burst": 1} // columns at the end
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
