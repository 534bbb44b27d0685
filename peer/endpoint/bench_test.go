package endpoint_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	peer "github.com/carobwharf/carobwharf/peer/endpoint"
	"github.com/carobwharf/carobwharf/standin/endpoint"
	"github.com/carobwharf/carobwharf/structs"
)

// Measures one call at a time. The stand-in endpoint runs in the same process,
// so its cost is included.
func BenchmarkDo(b *testing.B) {
	for _, legacy := range []structs.Legacy{structs.LegacyNone, structs.LegacyClose, structs.LegacyChunked} {
		b.Run(string(legacy), func(b *testing.B) {
			s, c := startEndpoints(b, 1, endpoint.Service{Legacy: legacy})
			vm := s.VMs()[0]
			req := newRequest("1", time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				if res := c.Do(context.Background(), req, vm, legacy, 1); res.Kind != structs.EndpointAnswered {
					b.Fatal(res.Detail)
				}
			}
		})
	}
}

// Measures the throughput of the client and the stand-in endpoints together.
func BenchmarkDoParallel(b *testing.B) {
	s, c := startEndpointsWithSlots(b, 50, 64, endpoint.Service{})
	vms := s.VMs()
	req := newRequest("1", time.Hour)
	var next atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			vm := vms[int(next.Add(1))%len(vms)]
			if res := c.Do(context.Background(), req, vm, structs.LegacyNone, 1); res.Kind != structs.EndpointAnswered {
				b.Error(res.Detail)
				return
			}
		}
	})
}

// Measures Retain for an unchanged fleet, which gateways call up to once a
// second.
func BenchmarkRetain(b *testing.B) {
	vms, err := endpoint.Fleet(15000, "127.0.1.1", 80, []string{"dc1"}, 8, 64)
	if err != nil {
		b.Fatal(err)
	}
	c := peer.New(peer.Options{})
	c.Retain(vms)
	b.ReportAllocs()
	for b.Loop() {
		c.Retain(vms)
	}
}
