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

// Figures include the stand-in, which runs in the same process.
func BenchmarkDo(b *testing.B) {
	for _, legacy := range []structs.Legacy{structs.LegacyNone, structs.LegacyClose, structs.LegacyChunked} {
		b.Run(string(legacy), func(b *testing.B) {
			s, c := start(b, 1, endpoint.Service{Legacy: legacy})
			vm := s.VMs()[0]
			req := request("1", time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				if res := c.Do(context.Background(), req, vm, legacy, 1); res.Kind != structs.EndpointAnswered {
					b.Fatal(res.Detail)
				}
			}
		})
	}
}

// Shows how much load client and stand-in carry together.
func BenchmarkDoParallel(b *testing.B) {
	s, c := startSlots(b, 50, 64, endpoint.Service{})
	vms := s.VMs()
	req := request("1", time.Hour)
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

// The view of the whole fleet arrives every second at most.
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
