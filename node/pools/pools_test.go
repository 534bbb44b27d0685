package pools

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/node/follow"
	"github.com/carobwharf/carobwharf/platform/worker"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// An owner that went on without its lease started a job that was submitted
// after its successor had taken the pool; the successor started it too.
func TestOwnerWithoutLeaseTakesNoNewJobs(t *testing.T) {
	job := engine.JobSeen{Submission: workload.Submission{ID: "j"}}
	rest, later := withoutNewJobs([]engine.Event{engine.CancelSeen{Job: "a"}, job, engine.QueuesSeen{}})
	require.Equal(t, []engine.Event{engine.CancelSeen{Job: "a"}, engine.QueuesSeen{}}, rest)
	require.Equal(t, []engine.Event{job}, later)
}

// An owner whose claim was answered late, so that its lease had ended, kept the
// recovered jobs back too and stopped their runs as unwanted.
func TestRecoveredJobsAreNotKeptBack(t *testing.T) {
	job := engine.JobSeen{Submission: workload.Submission{ID: "j"}, Recovered: true}
	rest, later := withoutNewJobs([]engine.Event{job, engine.CancelSeen{Job: "j"}})
	require.Len(t, rest, 2)
	require.Empty(t, later)
}

// A cancellation that overtook its job was forgotten, and the job ran.
func TestCancellationStaysBehindItsJob(t *testing.T) {
	job, cancel := engine.JobSeen{Submission: workload.Submission{ID: "j"}}, engine.CancelSeen{Job: "j"}
	rest, later := withoutNewJobs([]engine.Event{job, cancel})
	require.Empty(t, rest)
	require.Equal(t, []engine.Event{job, cancel}, later)
}

// An owner that the store turned away went on to start tasks of a job whose
// cancellation it could not read.
func TestOwnerThatCannotReadCancellationsStartsNothing(t *testing.T) {
	d := newDuty()
	d.Bounds.CancelWithin = 3 * time.Second
	now := time.Unix(1000, 0)
	d.takeDelta(follow.Delta{Table: store.TableWork, Sent: now})
	d.takeDelta(follow.Delta{Table: store.TableWork, Failing: true})
	require.True(t, d.knowsCancellations(now.Add(2500*time.Millisecond)))
	require.False(t, d.knowsCancellations(now.Add(2700*time.Millisecond)))
}

func registration(id, pool string) store.Change {
	return store.Change{Row: store.Row{Key: "servers//" + id, Value: []byte(`{"service":"` + pool +
		`","addr":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":1},"born":5}`)}}
}

func registrations(d *Duty) []string {
	var ids []string
	for _, w := range d.registry.pool("p") {
		ids = append(ids, w.ID)
	}
	return ids
}

func newDuty() *Duty {
	return New(Options{Self: "n", Decode: worker.Decode, Log: hclog.NewNullLogger()})
}

// Workers whose registrations lapsed while the store was away were taken to be
// gone, though they lived.
func TestRegistrationsLapsedInAnOutageMayReturn(t *testing.T) {
	d := newDuty()
	now := time.Unix(1000, 0)
	whole := follow.Delta{Table: "servers", Reset: true, Changes: []store.Change{registration("i-1", "p"), registration("i-2", "p")}}
	require.True(t, d.takeRegistrations(now, whole))
	require.Equal(t, []string{"i-1", "i-2"}, registrations(d))

	d.registry.back = now
	gone := follow.Delta{Table: "servers", Reset: true, Changes: []store.Change{registration("i-1", "p")}}
	d.takeRegistrations(now.Add(100*time.Millisecond), gone)
	require.Equal(t, []string{"i-1", "i-2"}, registrations(d))
	d.takeRegistrations(now.Add(returnTime+time.Millisecond), follow.Delta{Table: "servers"})
	require.Equal(t, []string{"i-1"}, registrations(d))
}

// A row that can't be read must not hide the others, and one that only beats
// must not wake the engines.
func TestUnreadableAndUnchangedRegistrations(t *testing.T) {
	d := newDuty()
	now := time.Unix(1000, 0)
	bad := store.Change{Row: store.Row{Key: "servers//i-9", Value: []byte("\xff")}}
	require.True(t, d.takeRegistrations(now, follow.Delta{Table: "servers", Changes: []store.Change{bad, registration("i-1", "p")}}))
	require.Equal(t, []string{"i-1"}, registrations(d))
	require.False(t, d.takeRegistrations(now, follow.Delta{Table: "servers", Changes: []store.Change{registration("i-1", "p")}}))
	removed := registration("i-1", "p")
	removed.Removed = true
	require.True(t, d.takeRegistrations(now, follow.Delta{Table: "servers", Changes: []store.Change{removed}}))
	require.Empty(t, registrations(d))
}
