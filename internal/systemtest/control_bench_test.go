package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// usage is the CPU time and I/O of a process so far, and its resident memory.
type usage struct {
	cpu      time.Duration
	io       int64 // bytes read and written, nearly all through sockets
	resident int64 // bytes
}

func (c *child) usage(b testing.TB) usage {
	u := usage{cpu: c.cpuTime(b)}
	u.io = c.procField(b, "io", "rchar:") + c.procField(b, "io", "wchar:")
	u.resident = c.procField(b, "status", "VmRSS:") << 10
	return u
}

func (c *child) procField(b testing.TB, file, name string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", c.cmd.Process.Pid, file))
	require.NoError(b, err)
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == name {
			n, err := strconv.ParseInt(f[1], 10, 64)
			require.NoError(b, err)
			return n
		}
	}
	b.Fatalf("/proc/PID/%s has no field %s", file, name)
	return 0
}

// BenchmarkIdleControlPlane measures the resource use of an idle entry VM (one
// gateway and one controller), one of six, by the number of VMs in the fleet.
// One iteration takes 10 s.
func BenchmarkIdleControlPlane(b *testing.B) {
	for _, vms := range []int{50, 500, 5000, 15000} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) { benchmarkIdleControlPlane(b, vms) })
	}
}

func benchmarkIdleControlPlane(b *testing.B, vms int) {
	const entryVMs = 6
	d := &deployment{t: b, dir: b.TempDir(), balancer: newBalancer(b)}
	list := filepath.Join(d.dir, "vms.json")
	fleet := idleFleet(vms)
	data, err := json.Marshal(fleet)
	require.NoError(b, err)
	require.NoError(b, os.WriteFile(list, data, 0o600))
	d.platform = startProcess(b, "platform", parseStandinReady, "standin", "platform", "--listen", "127.0.0.1:0", "--vms", list)
	d.insertOwnerRows(fleet)
	var controllers, gateways []*child
	for range entryVMs {
		controllers = append(controllers, d.startController())
	}
	text := idleObjectSet(string(d.readFile("../../demo/fleet.ini")), vms)
	client := operator.NewClient(controllers[0].addrs["operators"], operatorKey)
	_, err = client.Submit(context.Background(), "systemtest-1", 0, "fleet.ini", []byte(text))
	require.NoError(b, err)
	for range entryVMs {
		gateways = append(gateways, d.startGateway())
	}
	time.Sleep(8 * time.Second) // start-up is not part of the idle resource use
	for b.Loop() {
		before := [2]usage{gateways[0].usage(b), controllers[0].usage(b)}
		const interval = 10 * time.Second
		time.Sleep(interval)
		for i, c := range []*child{gateways[0], controllers[0]} {
			after := c.usage(b)
			role := []string{"gateway", "controller"}[i]
			b.ReportMetric(100*float64(after.cpu-before[i].cpu)/float64(interval), role+"-cpu-%")
			b.ReportMetric(float64(after.io-before[i].io)/interval.Seconds()/1e3, role+"-KB/s")
			b.ReportMetric(float64(after.resident)/1e6, role+"-MB")
		}
	}
}

// idleObjectSet changes the demonstration's object set so that the controllers
// have nothing to do: each pool has its target, and no VM is due for maintenance.
func idleObjectSet(text string, vms int) string {
	text, _, _ = strings.Cut(text, "[stopplan")
	text = strings.ReplaceAll(text, "max = 20", fmt.Sprintf("max = %d", vms))
	return regexp.MustCompile(`target = [1-9]\d*`).ReplaceAllString(text, fmt.Sprintf("target = %d", vms/5))
}

// idleFleet returns n VMs; no endpoint listens on their addresses.
func idleFleet(n int) []structs.VM {
	out := make([]structs.VM, n)
	for i := range out {
		out[i] = structs.VM{
			ID: fmt.Sprintf("vm-%05d", i), Addr: fmt.Sprintf("127.1.%d.%d:8080", i/250, i%250+1),
			DataCentre: fmt.Sprintf("dc%d", i%18+1), Rack: fmt.Sprintf("rack-%d", i/4), State: structs.VMLive,
			Cores: 16, MemoryMB: 32 << 10, Slots: 8, Connections: 64,
		}
	}
	return out
}

// insertOwnerRows writes an ownership row for each VM, so that the measurement
// does not include their adoption.
func (d *deployment) insertOwnerRows(fleet []structs.VM) {
	client := d.platformClient()
	defer client.Close()
	const rowsPerCommit = store.MaxOps - 1 // one operation is left for the fleet's mark
	pools := []string{"counter", "payout", "files", "audit", "umum"}
	for begin := 0; begin < len(fleet); begin += rowsPerCommit {
		var ops []store.Op
		for i, vm := range fleet[begin:min(begin+rowsPerCommit, len(fleet))] {
			row, err := rows.EncodeOwner(structs.Owner{VM: vm.ID, Pool: pools[i%len(pools)], State: structs.OwnerActive, Epoch: 1})
			require.NoError(d.t, err)
			ops = append(ops, store.Op{Kind: store.OpInsert, Key: store.KeyVM(vm.ID), Value: row})
		}
		ops = append(ops, store.Op{Kind: store.OpPut, Key: store.KeyFleetMark})
		_, err := client.Commit(context.Background(), ops)
		require.NoError(d.t, err)
	}
}

func (d *deployment) readFile(file string) []byte {
	data, err := os.ReadFile(file)
	require.NoError(d.t, err)
	return data
}
