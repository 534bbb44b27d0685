package dispatcher

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/internal/transcript"
	"github.com/carobwharf/carobwharf/structs"
)

// session runs one transcript against a machine of its own. Its events are
// lines "> time event arguments".
type session struct {
	t        *testing.T
	m        *Machine
	start    time.Time
	now      time.Time
	refs     []string // request IDs by Ref
	handles  map[string]Handle
	claims   map[string]string // by request ID: token of the latest claim
	attempts map[string]int
}

func newSession(t *testing.T) *session {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &session{
		t: t, start: start, now: start, refs: []string{""},
		m:       New(Options{Process: "g1", TokenPrefix: "t", DefaultDeadline: time.Second, MaxCalls: 100, MaxRequests: 100}),
		handles: map[string]Handle{}, claims: map[string]string{}, attempts: map[string]int{},
	}
}

// transcriptConfig returns a configuration with two services: only the refusals
// of service fire prove that a request was not run.
func transcriptConfig(generation uint64) *structs.Config {
	return &structs.Config{Generation: generation, Set: structs.ObjectSet{
		Pools: []structs.Pool{{Name: "counter"}},
		Services: []structs.Service{
			{Name: "grant", Pool: "counter", Share: 0.5, Idempotent: []string{"check"}, Once: []string{"pay"},
				Queue: 3, MaxBody: 10, RetryRatio: 0.1},
			{Name: "fire", Pool: "counter", Share: 0.5, Once: []string{"pay"}, Queue: 10, RetryRatio: 0.1, TrustRefusal: true},
		},
	}}
}

func (s *session) run(line string) []string {
	f := strings.Fields(line)
	at, err := time.ParseDuration(f[0])
	require.NoError(s.t, err, line)
	s.now = s.start.Add(at)
	var out []string
	for _, ev := range s.parseEvents(f[1], f[2:]) {
		for _, a := range s.m.Step(s.now, ev) {
			out = append(out, s.describe(a))
		}
	}
	if f[1] == "warm" {
		return nil
	}
	return out
}

var resultKinds = map[string]structs.EndpointResultKind{
	"answered": structs.EndpointAnswered, "failed": structs.EndpointAnswered, "refused": structs.EndpointRefused,
	"leaving": structs.EndpointRefused, "not-reached": structs.EndpointNotReached,
	"broken": structs.EndpointNoAnswer, "timed-out": structs.EndpointTimedOut,
}

// claimKinds are the results in a claim event. "unsure" is unavailable with
// RecordMayExist set.
var claimKinds = map[string]ClaimKind{
	"granted": ClaimGranted, "replay": ClaimReplay, "key-reused": ClaimKeyReused, "in-progress": ClaimInProgress,
	"stale-vm": ClaimStaleVM, "unavailable": ClaimUnavailable, "unsure": ClaimUnavailable,
}

func (s *session) parseEvents(kind string, args []string) []Event {
	switch kind {
	case "arrive":
		return []Event{s.parseArrival(args)}
	case "end":
		kind := args[1]
		res := &structs.EndpointResult{
			Kind: resultKinds[kind], Status: 200, Failed: kind == "failed", Leaving: kind == "leaving", Latency: time.Millisecond,
		}
		return []Event{{Kind: CallEnded, Handle: s.handles[args[0]], Attempt: s.attempts[args[0]], Result: res}}
	case "not-sent":
		return []Event{{Kind: CallNotSent, Handle: s.handles[args[0]], Attempt: s.attempts[args[0]]}}
	case "claim":
		return []Event{{Kind: ClaimReplied, Handle: s.handles[args[0]], Claim: ClaimResult{
			Kind: claimKinds[args[1]], Token: s.claims[args[0]], RecordMayExist: args[1] == "unsure",
			Answer: structs.Answer{Status: 200},
		}}}
	case "stored":
		return []Event{{Kind: FinishReplied, Handle: s.handles[args[0]]}}
	case "config":
		return []Event{{Kind: NewConfig, Config: transcriptConfig(uint64(s.parseInt(args[0])))}}
	case "members":
		return []Event{{Kind: NewMembers, Members: memberView(s.parseInt(args[0]))}}
	case "fleet":
		return []Event{{Kind: NewFleet, Fleet: fleetView(args)}}
	case "drain":
		return []Event{{Kind: DrainVM, VM: args[0], Epoch: uint64(s.parseInt(args[1]))}}
	case "tick":
		return []Event{{Kind: Tick}}
	case "stop":
		return []Event{{Kind: Stop}}
	case "abort":
		return []Event{{Kind: Abort}}
	case "warm":
		s.serveAll(s.parseInt(args[0]), args[1], args[2])
		return nil
	}
	s.t.Fatalf("unknown event %s", kind)
	return nil
}

// serveAll serves n requests without failures, which fills the retry budget.
func (s *session) serveAll(n int, service, op string) {
	for i := range n {
		id := fmt.Sprintf("warm%d", i)
		s.run(fmt.Sprintf("%s arrive %s %s %s key=%s", s.now.Sub(s.start), id, service, op, id))
		if s.claims[id] != "" {
			s.run(fmt.Sprintf("%s claim %s granted", s.now.Sub(s.start), id))
		}
		s.run(fmt.Sprintf("%s end %s answered", s.now.Sub(s.start), id))
		s.run(fmt.Sprintf("%s stored %s", s.now.Sub(s.start), id))
	}
}

func (s *session) parseInt(text string) int {
	n, err := strconv.Atoi(text)
	require.NoError(s.t, err)
	return n
}

func (s *session) parseArrival(args []string) Event {
	req := &structs.Request{ID: args[0], Service: args[1], Operation: args[2], Arrived: s.now}
	for _, a := range args[3:] {
		name, value, _ := strings.Cut(a, "=")
		switch name {
		case "key":
			req.Key = value
		case "body":
			req.Body = []byte(value)
		case "deadline":
			d, err := time.ParseDuration(value)
			require.NoError(s.t, err)
			req.Deadline = s.now.Add(d)
		}
	}
	s.refs = append(s.refs, args[0])
	return Event{Kind: RequestArrived, Ref: uint64(len(s.refs) - 1), Request: req}
}

func memberView(n int) *structs.MemberView {
	v := &structs.MemberView{}
	for i := range n {
		v.Live = append(v.Live, structs.Member{ID: fmt.Sprintf("g%d", i+1), Role: structs.RoleGateway})
	}
	v.Self = v.Live[0]
	return v
}

// fleetView parses VMs of the form vm:slots:VM state:owner state:epoch.
func fleetView(args []string) *structs.FleetView {
	v := &structs.FleetView{}
	for _, a := range args {
		f := strings.Split(a, ":")
		slots, _ := strconv.Atoi(f[1])
		epoch, _ := strconv.Atoi(f[4])
		v.VMs = append(v.VMs, structs.VM{ID: f[0], Slots: slots, State: structs.VMState(f[2])})
		v.Owners = append(v.Owners, structs.Owner{
			VM: f[0], Pool: "counter", State: structs.OwnerState(f[3]), Epoch: uint64(epoch), Version: uint64(epoch),
		})
	}
	return v
}

func (s *session) describe(a Action) string {
	id := ""
	if a.Request != nil {
		id = a.Request.ID
	}
	switch a.Kind {
	case Answer:
		out := fmt.Sprintf("answer %s %s", a.Answer.RequestID, a.Answer.Outcome)
		if a.Answer.Reason != "" {
			out += " " + string(a.Answer.Reason)
		}
		if a.Answer.Replayed {
			out += " replayed"
		}
		if a.Answer.RetryAfter > 0 {
			out += " retry-after=" + a.Answer.RetryAfter.String()
		}
		if s.refs[a.Ref] != a.Answer.RequestID {
			out += " TO WRONG CALLER " + s.refs[a.Ref]
		}
		return out
	case Send:
		s.handles[id], s.attempts[id] = a.Handle, a.Attempt
		return fmt.Sprintf("send %s attempt=%d %s", id, a.Attempt, a.VM.ID)
	case Claim:
		s.handles[id], s.claims[id] = a.Handle, a.Claim.Token
		return fmt.Sprintf("claim %s token=%s %s version=%d", id, a.Claim.Token, a.VM.ID, a.OwnerVersion)
	case Finish:
		return fmt.Sprintf("finish %s token=%s", id, a.Claim.Token)
	case Abandon:
		return fmt.Sprintf("abandon %s owner=%s", id, a.Claim.Owner)
	case DrainReply:
		return fmt.Sprintf("drain-reply in-flight=%d", a.InFlight)
	}
	return fmt.Sprintf("action %d", a.Kind)
}

// TestTranscripts compares the actions of the machine with the transcripts in
// testdata, for example the answers to callers and the endpoints chosen. Each
// file names at its top the failures that it guards against.
func TestTranscripts(t *testing.T) {
	transcript.Check(t, "testdata/*.txt", func(t *testing.T) func(string) []string { return newSession(t).run })
}
