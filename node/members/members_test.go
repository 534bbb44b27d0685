package members

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/internal/storetest"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/peer/link"
	"github.com/carobwharf/carobwharf/peer/member"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

type emptyConfigSource struct{}

func (emptyConfigSource) FetchConfig(context.Context, uint64) (member.ConfigBlob, error) {
	return member.ConfigBlob{}, store.ErrNotFound
}

type process struct {
	duty        *Duty
	addr        string
	views       *ring.Ring[*structs.MemberView]
	configHints *ring.Ring[ConfigHint]
	sup         *duty.Supervisor
}

// startProcess runs a members duty behind a real drpc server on loopback.
func startProcess(t *testing.T, id string, table store.Table, seeds []string, loss float64) *process {
	t.Helper()
	srv, err := link.Listen("127.0.0.1:0", hclog.NewNullLogger())
	require.NoError(t, err)
	p := &process{
		addr:        srv.Addr(),
		views:       ring.New[*structs.MemberView]("views", 1, ring.KeepNewest),
		configHints: ring.New[ConfigHint]("news", 1, ring.KeepNewest),
		sup:         duty.NewSupervisor(),
	}
	dialer := link.NewDialer(link.DialerOptions{Timeout: 200 * time.Millisecond})
	p.duty, err = New(Options{
		Self: structs.Member{ID: id, Role: structs.RoleGateway, Addr: srv.Addr()}, Seeds: seeds, LossRate: loss,
		Membership: settings.Membership{
			Interval: 20 * time.Millisecond, Fanout: 3, SuspectAfter: 200 * time.Millisecond,
			RemoveAfter: 200 * time.Millisecond, RowLifetime: 600 * time.Millisecond,
		},
		Table: table, Sender: member.NewClient(dialer),
		Subscribers: []*ring.Ring[*structs.MemberView]{p.views}, ConfigHints: p.configHints,
		Log: hclog.NewNullLogger(), Metrics: metrics.New(),
	})
	require.NoError(t, err)
	require.NoError(t, member.Register(srv, p.duty, emptyConfigSource{}))
	p.sup.Add(duty.Duty{Name: "peers", Run: srv.Run})
	p.sup.Add(duty.Duty{Name: "members", Run: p.duty.Run, Dump: p.duty.Dump})
	p.sup.Start(context.Background())
	t.Cleanup(func() { p.stop(t); _ = dialer.Close() })
	return p
}

func (p *process) stop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, p.sup.Stop(ctx))
}

// waitFor receives views until one has n live members.
func (p *process) waitFor(t *testing.T, n int) *structs.MemberView {
	t.Helper()
	deadline := time.After(20 * time.Second)
	for last := 0; ; {
		select {
		case v := <-p.views.C():
			if last = len(v.Live); last == n {
				return v
			}
		case <-deadline:
			t.Fatalf("last view has %d live members after 20 s, want %d", last, n)
		}
	}
}

// Processes must find each other through a single seed while the platform is
// down, and through the member rows alone without seeds, although 20% of the
// heartbeats are lost.
func TestViewsConverge(t *testing.T) {
	for _, outage := range []bool{true, false} {
		t.Run(fmt.Sprintf("outage=%v", outage), func(t *testing.T) {
			f := storetest.New(1)
			f.SetFaults(storetest.Faults{Outage: outage})
			var ps []*process
			for i := range 5 {
				var seeds []string
				if outage && i > 0 {
					seeds = []string{ps[0].addr}
				}
				ps = append(ps, startProcess(t, fmt.Sprintf("p%d", i), f, seeds, 0.2))
			}
			for _, p := range ps {
				p.waitFor(t, 5)
			}
			ps[4].stop(t)
			for _, p := range ps[:4] {
				p.waitFor(t, 4)
			}
		})
	}
}

// A process must learn of a higher generation from its peers alone. Otherwise a
// new configuration would not spread while the platform is down.
func TestHigherGenerationReachesConfigDuty(t *testing.T) {
	f := storetest.New(1)
	f.SetFaults(storetest.Faults{Outage: true})
	a := startProcess(t, "a", f, nil, 0)
	b := startProcess(t, "b", f, []string{a.addr}, 0)
	require.NoError(t, a.duty.SetConfig(context.Background(), 7, "hash"))
	select {
	case n := <-b.configHints.C():
		require.Equal(t, uint64(7), n.Generation)
		require.Equal(t, "hash", n.Hash)
		require.Equal(t, a.addr, n.From.Addr)
	case <-time.After(20 * time.Second):
		t.Fatal("no hint of generation 7 within 20 s")
	}
}

// Registered must not be closed before the row is in the table, because a
// gateway starts to use VMs after that.
func TestRegisteredOnlyAfterRowIsWritten(t *testing.T) {
	f := storetest.New(1)
	f.SetFaults(storetest.Faults{Outage: true})
	p := startProcess(t, "a", f, nil, 0)
	time.Sleep(50 * time.Millisecond) // some rounds
	select {
	case <-p.duty.Registered():
		t.Fatal("registered during an outage of the platform")
	default:
	}
	f.SetFaults(storetest.Faults{})
	<-p.duty.Registered()
	require.Len(t, f.Rows(store.PrefixMember), 1)
}
