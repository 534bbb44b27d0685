package member

import (
	"github.com/carobwharf/carobwharf/membership"
	"github.com/carobwharf/carobwharf/peer/member/memberpb"
	"github.com/carobwharf/carobwharf/structs"
)

func encodeUpdate(u membership.Update) *memberpb.Update {
	m := u.Member
	return &memberpb.Update{
		Member: &memberpb.MemberInfo{
			Id:          m.ID,
			Role:        string(m.Role),
			Addr:        m.Addr,
			AdminAddr:   m.AdminAddr,
			DataCentre:  m.DataCentre,
			Incarnation: m.Incarnation,
			Generation:  m.Generation,
		},
		Status: memberpb.Status(u.Status),
		Beat:   u.Beat,
	}
}

func decodeUpdate(u *memberpb.Update) membership.Update {
	m := u.GetMember()
	status := membership.Status(u.GetStatus())
	if status < membership.Alive || status > membership.Dead {
		status = membership.Alive
	}
	return membership.Update{
		Member: structs.Member{
			ID:          m.GetId(),
			Role:        structs.Role(m.GetRole()),
			Addr:        m.GetAddr(),
			AdminAddr:   m.GetAdminAddr(),
			DataCentre:  m.GetDataCentre(),
			Incarnation: m.GetIncarnation(),
			Generation:  m.GetGeneration(),
		},
		Status: status,
		Beat:   u.GetBeat(),
	}
}

func encodeMessage(m membership.Message) *memberpb.HeartbeatMessage {
	out := &memberpb.HeartbeatMessage{From: encodeUpdate(m.From), ConfigHash: m.ConfigHash}
	for _, u := range m.Updates {
		out.Updates = append(out.Updates, encodeUpdate(u))
	}
	return out
}

func decodeMessage(m *memberpb.HeartbeatMessage) membership.Message {
	out := membership.Message{From: decodeUpdate(m.GetFrom()), ConfigHash: m.GetConfigHash()}
	for _, u := range m.GetUpdates() {
		out.Updates = append(out.Updates, decodeUpdate(u))
	}
	return out
}
