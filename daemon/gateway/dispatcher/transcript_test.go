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

// session runs the events of one transcript: lines "> time event".
type session struct {
	t       *testing.T
	m       *Machine
	start   time.Time
	now     time.Time
	refs    []string
	handles map[string]Handle
	claims  map[string]string // token of the latest claim
	tries   map[string]int
}

func newSession(t *testing.T) *session {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &session{
		t: t, start: start, now: start, refs: []string{""},
		m:       New(Options{Process: "g1", TokenPrefix: "t", DefaultDeadline: time.Second, MaxCalls: 100, MaxRequests: 100}),
		handles: map[string]Handle{}, claims: map[string]string{}, tries: map[string]int{},
	}
}

// Service grant does not prove that a refused request was not run, fire does.
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
	for _, ev := range s.events(f[1], f[2:]) {
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
	"broken": structs.EndpointBroken, "timed-out": structs.EndpointTimedOut,
}

var claimKinds = map[string]ClaimKind{
	"granted": ClaimGranted, "replay": ClaimReplay, "key-reused": ClaimKeyReused, "in-progress": ClaimInProgress,
	"stale-vm": ClaimStaleVM, "unavailable": ClaimUnavailable, "unsure": ClaimUnavailable,
}

func (s *session) events(kind string, args []string) []Event {
	switch kind {
	case "arrive":
		return []Event{s.arrival(args)}
	case "end":
		kind := args[1]
		res := &structs.EndpointResult{
			Kind: resultKinds[kind], Status: 200, Failed: kind == "failed", Leaving: kind == "leaving", Latency: time.Millisecond,
		}
		return []Event{{Kind: Ended, Handle: s.handles[args[0]], Attempt: s.tries[args[0]], Result: res}}
	case "not-sent":
		return []Event{{Kind: NotSent, Handle: s.handles[args[0]], Attempt: s.tries[args[0]]}}
	case "claim":
		return []Event{{Kind: Claimed, Handle: s.handles[args[0]], Claim: ClaimResult{
			Kind: claimKinds[args[1]], Token: s.claims[args[0]], MayExist: args[1] == "unsure",
			Answer: structs.Answer{Status: 200},
		}}}
	case "stored":
		return []Event{{Kind: Stored, Handle: s.handles[args[0]]}}
	case "config":
		return []Event{{Kind: NewConfig, Config: transcriptConfig(uint64(s.number(args[0])))}}
	case "members":
		return []Event{{Kind: NewMembers, Members: memberView(s.number(args[0]))}}
	case "fleet":
		return []Event{{Kind: NewFleet, Fleet: fleetView(args)}}
	case "drain":
		return []Event{{Kind: DrainVM, VM: args[0], Epoch: uint64(s.number(args[1]))}}
	case "tick":
		return []Event{{Kind: Tick}}
	case "stop":
		return []Event{{Kind: Stop}}
	case "abort":
		return []Event{{Kind: Abort}}
	case "warm":
		s.warm(s.number(args[0]), args[1], args[2])
		return nil
	}
	s.t.Fatalf("unknown event %s", kind)
	return nil
}

// warm serves requests without any trouble, which fills the retry budget.
func (s *session) warm(n int, service, op string) {
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

func (s *session) number(text string) int {
	n, err := strconv.Atoi(text)
	require.NoError(s.t, err)
	return n
}

func (s *session) arrival(args []string) Event {
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
	return Event{Kind: Arrived, Ref: uint64(len(s.refs) - 1), Request: req}
}

func memberView(n int) *structs.MemberView {
	v := &structs.MemberView{}
	for i := range n {
		v.Live = append(v.Live, structs.Member{ID: fmt.Sprintf("g%d", i+1), Role: structs.RoleGateway})
	}
	v.Self = v.Live[0]
	return v
}

// Each argument is vm:slots:list state:owner state:epoch.
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
		s.handles[id], s.tries[id] = a.Handle, a.Attempt
		return fmt.Sprintf("send %s attempt=%d %s", id, a.Attempt, a.VM.ID)
	case Claim:
		s.handles[id], s.claims[id] = a.Handle, a.Claim.Token
		return fmt.Sprintf("claim %s token=%s %s version=%d", id, a.Claim.Token, a.VM.ID, a.OwnerVersion)
	case Finish:
		return fmt.Sprintf("finish %s token=%s", id, a.Claim.Token)
	case Surrender:
		return fmt.Sprintf("surrender %s owner=%s", id, a.Claim.Owner)
	case DrainReply:
		return fmt.Sprintf("drain-reply in-flight=%d", a.InFlight)
	}
	return fmt.Sprintf("action %d", a.Kind)
}

// The transcripts fix what callers are told and what is sent where. Each file
// says at its top which failures it guards against.
func TestTranscripts(t *testing.T) {
	transcript.Check(t, "testdata/*.txt", func(t *testing.T) func(string) []string { return newSession(t).run })
}
