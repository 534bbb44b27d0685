package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carobwharf/carobwharf/membership"
	"github.com/carobwharf/carobwharf/peer/member/memberpb"
	"github.com/carobwharf/carobwharf/structs"
)

// A malformed or malicious heartbeat must not cause a panic, remove the receiver
// from its own view or make its reply exceed the maximum number of updates.
func FuzzHeartbeat(f *testing.F) {
	for _, m := range []membership.Message{
		{From: membership.Update{Member: structs.Member{ID: "g1", Role: structs.RoleGateway, Addr: "127.0.0.1:1"}, Beat: 3}},
		{From: membership.Update{Status: membership.Dead}, ConfigHash: "x"},
		{Updates: []membership.Update{{Member: structs.Member{ID: "self", Incarnation: 9}, Status: membership.Dead}}},
	} {
		data, err := proto.Marshal(encodeMessage(m))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var in memberpb.HeartbeatMessage
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		const maxUpdates = 8
		view := membership.New(structs.Member{ID: "self", Incarnation: 1},
			membership.Config{Interval: time.Second, Fanout: 3, SuspectAfter: time.Second, RemoveAfter: time.Second, MaxUpdates: maxUpdates},
			rand.New(rand.NewPCG(1, 1)))
		now := time.Unix(1_700_000_000, 0)
		view.Receive(now, decodeMessage(&in))
		view.Tick(now.Add(time.Second))
		live := false
		for _, m := range view.Live() {
			live = live || m.ID == "self"
		}
		require.True(t, live)
		require.LessOrEqual(t, len(encodeMessage(view.Message("")).GetUpdates()), maxUpdates)
	})
}
