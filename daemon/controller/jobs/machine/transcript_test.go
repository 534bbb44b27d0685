package machine

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

// session runs the events of one transcript, which are lines "> time event".
type session struct {
	t      *testing.T
	m      *Machine
	start  time.Time
	now    time.Time
	writes map[string]structs.Job // last write of each job
	calls  map[string]Call        // last call of each job
}

func newSession(t *testing.T) *session {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &session{t: t, start: start, now: start, writes: map[string]structs.Job{}, calls: map[string]Call{},
		m: New(Config{ID: "c1", TaskLease: 30 * time.Second, ScanInterval: time.Second, UsageInterval: time.Second,
			RetryDelay: time.Second, MaxStarts: 100, MaxAttempts: 3})}
}

func (s *session) run(line string) (out []string) {
	f := strings.Fields(line)
	at, err := time.ParseDuration(f[0])
	require.NoError(s.t, err, line)
	s.now = s.start.Add(at)
	for _, a := range s.m.Step(s.now, s.event(f[1], f[2:])) {
		out = append(out, s.describe(a))
	}
	return out
}

func (s *session) event(name string, args []string) Event {
	switch name {
	case "tick":
		return Tick{}
	case "config":
		return ConfigUpdated{&structs.Config{Generation: 1, Set: structs.ObjectSet{Teams: []structs.Team{{Name: "few", Jobs: 1}}}}}
	case "fleet":
		return FleetUpdated{s.fleet(args)}
	case "scan":
		return s.scan(args)
	case "hint":
		return JobChanged{s.job(args[0])}
	case "cancel": // the API adds the cancel request to the last written row
		j := s.writes[args[0]]
		j.Cancel, j.Holder, j.Version = true, "c2", s.number(args, 1)
		return JobChanged{j}
	case "written":
		w := s.writes[args[0]]
		return WriteResult{Job: w, Outcome: Outcome(strings.ReplaceAll(args[1], "-", " ")), Version: s.number(args, 2)}
	case "read":
		return s.read(args)
	case "called":
		return s.called(args)
	case "usage":
		return UsageResult{Runs: []Run{{Job: args[0], Token: s.token(args[1]), State: RunState(args[2]), Ran: time.Second}}}
	}
	s.t.Fatalf("unknown event %q", name)
	return nil
}

// fleet parses VMs of the form id:cores:state.
func (s *session) fleet(args []string) *structs.FleetView {
	v := &structs.FleetView{ReadAt: s.now}
	for _, a := range args {
		f := strings.Split(a, ":")
		cores, _ := strconv.Atoi(f[1])
		v.VMs = append(v.VMs, structs.VM{ID: f[0], State: structs.VMLive, Cores: cores, MemoryMB: 32000})
		v.Owners = append(v.Owners, structs.Owner{VM: f[0], Pool: "p", State: structs.OwnerState(f[2])})
	}
	return v
}

// scan parses leases of the form lease=holder:token:version, and jobs.
func (s *session) scan(args []string) ScanResult {
	out := ScanResult{Started: s.now}
	for _, a := range args {
		if a == "failed" {
			return ScanResult{Failed: true}
		}
		text, ok := strings.CutPrefix(a, "lease=")
		if !ok {
			out.Jobs = append(out.Jobs, s.job(a))
			continue
		}
		f := strings.Split(text, ":")
		out.Leases = append(out.Leases, LeaseRow{Pool: "p", Holder: f[0], Token: s.number(f, 1), Version: s.number(f, 2), Duration: 8 * time.Second})
	}
	return out
}

// job parses id:class:cores:version:state[:worker:token][:cancel].
func (s *session) job(text string) structs.Job {
	f := strings.Split(text, ":")
	cores, _ := strconv.Atoi(f[2])
	j := structs.Job{Version: s.number(f, 3), State: structs.JobState(f[4]), Submitted: s.start,
		Spec: structs.JobSpec{ID: f[0], Team: "t", Kind: "k", Class: structs.Class(f[1]), Pool: "p", MilliCores: 1000 * cores,
			MemoryMB: 1000, RunTime: time.Minute, Checkpoints: true}}
	if strings.HasPrefix(f[0], "few") {
		j.Spec.Team = "few"
	}
	if j.Cancel = f[len(f)-1] == "cancel"; j.State == structs.JobRunning {
		j.Worker, j.Token, j.Starts = f[5], s.token(f[6]), 1
	}
	return j
}

func (s *session) read(args []string) ReadResult {
	switch args[1] {
	case "failed":
		return ReadResult{ID: args[0], Failed: true}
	case "missing":
		return ReadResult{ID: args[0]}
	case "written": // the row is as last written
		j := s.writes[args[0]]
		j.Version = s.number(args, 2)
		return ReadResult{ID: args[0], Job: &j}
	}
	j := s.job(args[1])
	return ReadResult{ID: args[0], Job: &j}
}

// called parses the job, the outcome, and the state and checkpoint of the run.
func (s *session) called(args []string) CallResult {
	c := s.calls[args[0]]
	e := CallResult{Call: c, Sent: s.now, Outcome: Outcome(strings.ReplaceAll(args[1], "-", " "))}
	if e.Outcome == OutcomeDone {
		e.Run = Run{Job: c.Job, Token: c.Token, State: RunState(args[2]), Ran: time.Second}
	}
	if len(args) > 3 {
		d, err := time.ParseDuration(args[3])
		require.NoError(s.t, err)
		e.Run.Checkpoint = d
	}
	return e
}

func (s *session) number(f []string, i int) uint64 {
	if i >= len(f) {
		return 0
	}
	n, err := strconv.ParseUint(f[i], 10, 64)
	require.NoError(s.t, err)
	return n
}

// token parses a fencing token of the form lease.counter.
func (s *session) token(text string) uint64 {
	f := strings.Split(text, ".")
	return s.number(f, 0)<<32 | s.number(f, 1)
}

func (s *session) describe(a Action) string {
	switch a := a.(type) {
	case WriteJob:
		s.writes[a.Job.Spec.ID] = a.Job
		out := fmt.Sprintf("write %s over version %d: %s", a.Job.Spec.ID, a.Job.Version, a.Job.State)
		if a.Job.Worker != "" {
			out += fmt.Sprintf(" on %s token %d.%d", a.Job.Worker, a.Job.Token>>32, uint32(a.Job.Token))
		}
		if a.Job.Progress > 0 || a.Job.Failures > 0 {
			out += fmt.Sprintf(" progress %v failures %d", a.Job.Progress, a.Job.Failures)
		}
		if a.Job.Reason != "" {
			out += " (" + a.Job.Reason + ")"
		}
		return out
	case Call:
		s.calls[a.Job] = a
		return fmt.Sprintf("call %s %s on %s token %d.%d progress %v", a.Kind, a.Job, a.Worker, a.Token>>32, uint32(a.Token), a.Progress)
	case ReadJob:
		return "read " + a.ID
	case Scan:
		return "scan"
	}
	return "usage"
}

// TestTranscripts compares the actions for recorded sequences of events with
// the reviewed ones. It guards against a changed order of writes and calls: a
// worker that is called before the row is written can run a job twice.
func TestTranscripts(t *testing.T) {
	transcript.Check(t, "testdata/*.txt", func(t *testing.T) func(string) []string { return newSession(t).run })
}
