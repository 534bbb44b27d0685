package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobwharf/carobwharf/structs"
)

var (
	t0              = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	plainType       = WorkerType{Name: "plain", Capacity: Size{16000, 32000, 0}, Watts: 300, Price: 1}
	acceleratorType = WorkerType{Name: "accel", Capacity: Size{32000, 64000, 4}, Watts: 900, Price: 4}
)

func at(d time.Duration) time.Time { return t0.Add(d) }

func newFleet(opt Options, n int) *Scheduler {
	s := New(opt, 0)
	for i := range n {
		s.AddWorker(fmt.Sprintf("w%d", i), plainType)
	}
	return s
}

func batchJob(id string, cores int) Job {
	return Job{ID: id, Team: "t", Kind: "k", Class: structs.ClassBatch, Size: Size{cores * 1000, 1000, 0}, Runtime: time.Minute}
}

func urgentJob(id string, cores int) Job {
	j := batchJob(id, cores)
	j.Class = structs.ClassUrgent
	return j
}

func commandSummaries(cs []Command) (out []string) {
	for _, c := range cs {
		out = append(out, string(c.Kind)+" "+c.Job)
	}
	return out
}

func Example() {
	s := New(Options{}, 0)
	s.AddWorker("w0", plainType)
	fmt.Println(s.Submit(Job{ID: "big", Class: structs.ClassBatch, Size: Size{64000, 1000, 0}}, t0))
	_ = s.Submit(Job{ID: "report", Class: structs.ClassBatch, Size: Size{16000, 1000, 0}, Checkpoints: true}, t0)
	start := s.Place(t0, 10)[0]
	fmt.Println(start.Kind, start.Job, start.Worker)
	_ = s.Submit(Job{ID: "quote", Class: structs.ClassUrgent, Size: Size{1000, 1000, 0}}, at(time.Second))
	fmt.Println(commandSummaries(s.Place(at(time.Second), 10)))
	_ = s.Report(Report{Kind: ReportCheckpointed, Job: "report", Token: start.Token, Progress: time.Second}, at(2*time.Second))
	fmt.Println(commandSummaries(s.Place(at(2*time.Second), 10)))
	// Output:
	// job big: needs 64000 millicores, the largest worker has 16000
	// start report w0
	// [checkpoint report]
	// [start quote]
}

// A job that no worker type can hold must be refused at submission, naming the
// dimension that is short, instead of waiting forever.
func TestSubmitRefusesImpossibleJobs(t *testing.T) {
	s := newFleet(Options{}, 1)
	s.AddWorker("a", WorkerType{Name: "accel", Capacity: Size{8000, 64000, 4}})
	for want, size := range map[string]Size{
		"needs 17000 millicores": {17000, 1, 0},
		"needs 64001 MB":         {1, 64001, 0},
		"needs 5 accelerators":   {1, 1, 5},
		"together":               {16000, 1, 1},
		"not positive":           {0, 1, 0},
	} {
		require.ErrorContains(t, s.Submit(Job{ID: want, Size: size}, t0), want)
	}
	require.NoError(t, s.Submit(batchJob("b", 1), t0))
	require.ErrorContains(t, s.Submit(batchJob("b", 1), t0), "not ended")
}

// Guards against two workers reporting for one job: a worker that was paused
// beyond its lease sends reports with the token of a run that was replaced.
func TestExpiredLeaseIsFenced(t *testing.T) {
	s := newFleet(Options{}, 2)
	require.NoError(t, s.Submit(batchJob("b", 1), t0))
	first := s.Place(t0, 1)[0]
	require.NoError(t, s.Report(Report{Kind: ReportRunning, Job: "b", Token: first.Token}, at(20*time.Second)))
	require.Empty(t, s.Place(at(49*time.Second), 1), "the report must renew the lease")
	second := s.Place(at(51*time.Second), 1)[0]
	require.Greater(t, second.Token, first.Token)
	require.NotEqual(t, first.Worker, second.Worker)
	require.ErrorIs(t, s.Report(Report{Kind: ReportFinished, Job: "b", Token: first.Token}, at(52*time.Second)), ErrFenced)
	require.NoError(t, s.Report(Report{Kind: ReportFinished, Job: "b", Token: second.Token}, at(53*time.Second)))
	require.ErrorIs(t, s.Report(Report{Kind: ReportFinished, Job: "b", Token: second.Token}, at(53*time.Second)), ErrFenced)
}

// Guards against running a job twice: a worker that left the fleet may still run
// its tasks until their leases end.
func TestRemovedWorkerKeepsLeases(t *testing.T) {
	s := newFleet(Options{}, 1)
	require.NoError(t, s.Submit(batchJob("b", 1), t0))
	w := s.Place(t0, 1)[0].Worker
	s.AddWorker("other", plainType)
	s.RemoveWorker(w)
	require.Empty(t, s.Place(at(29*time.Second), 1))
	require.Equal(t, []string{"start b"}, commandSummaries(s.Place(at(31*time.Second), 1)))
}

// A new holder of the pool's lease must continue the tasks of the previous one:
// it must neither start them twice nor reuse a token.
func TestAdoptContinuesRunningTasks(t *testing.T) {
	old, fresh := newFleet(Options{}, 2), New(Options{}, 1000)
	fresh.AddWorker("w0", plainType)
	for _, id := range []string{"a", "b", "c"} {
		require.NoError(t, old.Submit(batchJob(id, 16), t0))
	}
	starts := old.Place(t0, 9)
	require.Equal(t, []string{"start a", "start b"}, commandSummaries(starts))
	for _, c := range starts {
		fresh.Adopt(batchJob(c.Job, 16), Run{Worker: c.Worker, Token: c.Token}, at(20*time.Second))
	}
	require.NoError(t, fresh.Resume(batchJob("c", 16), time.Second, at(20*time.Second)))
	require.Empty(t, fresh.Place(at(49*time.Second), 9), "the only worker is occupied, and leases start again at the takeover")
	for _, c := range starts {
		if c.Worker == "w0" {
			require.NoError(t, fresh.Report(Report{Kind: ReportFinished, Job: c.Job, Token: c.Token}, at(49*time.Second)))
		}
	}
	c := fresh.Place(at(49*time.Second), 9)
	require.Equal(t, []string{"start c"}, commandSummaries(c))
	require.Equal(t, uint64(1001), c[0].Token)
	require.Equal(t, time.Second, c[0].Progress)
}

// A worker that fails every task is always free and would attract all jobs unless
// it is quarantined. A job that fails on every worker must fail at its limit of
// attempts and must not quarantine the fleet.
func TestQuarantineAndRetryLimit(t *testing.T) {
	s := newFleet(Options{}, 8)
	now := t0
	failed := 0
	require.NoError(t, s.Submit(batchJob("poison", 1), now))
	for i := range 20 {
		require.NoError(t, s.Submit(batchJob(fmt.Sprint("j", i), 1), now))
	}
	for range 200 {
		now = now.Add(time.Second)
		for _, c := range s.Place(now, 2) {
			switch {
			case c.Kind == CommandFailed:
				require.Equal(t, "poison", c.Job)
				require.Contains(t, c.Reason, "3 of 3 attempts")
				failed++
			case c.Job == "poison" || c.Worker == "w0":
				require.NoError(t, s.Report(Report{Kind: ReportFailed, Job: c.Job, Token: c.Token}, now))
			default:
				require.NoError(t, s.Report(Report{Kind: ReportFinished, Job: c.Job, Token: c.Token}, now))
			}
		}
		require.LessOrEqual(t, s.Quarantined(), 2)
	}
	require.Equal(t, 1, failed)
	require.Zero(t, s.Waiting()+s.Running())
}

// A job that every worker has refused once for lack of room must be placed again
// within the target of 1.7 s, instead of waiting for as long as after a failure.
// A worker on which it failed is avoided for longer.
func TestJobRefusedByAllWorkersIsPlacedAgain(t *testing.T) {
	s := newFleet(Options{MaxAttempts: 9}, 3)
	require.NoError(t, s.Submit(urgentJob("a", 8), t0))
	first := s.Place(t0, 1)[0]
	require.NoError(t, s.Report(Report{Kind: ReportFailed, Job: "a", Token: first.Token}, t0))
	for range 2 {
		c := s.Place(t0, 1)
		require.Len(t, c, 1)
		require.NotEqual(t, first.Worker, c[0].Worker)
		require.True(t, s.Requeue("a", c[0].Token, t0))
	}
	require.Empty(t, s.Place(t0, 1))
	again := s.Place(at(1700*time.Millisecond), 1)
	require.Equal(t, []string{"start a"}, commandSummaries(again))
	require.NotEqual(t, first.Worker, again[0].Worker)
}

// Cancelling many jobs must end waiting ones at once, stop running ones and never
// start a cancelled job.
func TestCancelManyJobs(t *testing.T) {
	s := newFleet(Options{}, 1)
	var ids []string
	for i := range 1000 {
		ids = append(ids, fmt.Sprint("j", i))
		require.NoError(t, s.Submit(batchJob(ids[i], 4), t0))
	}
	starts := s.Place(t0, 1000)
	require.Len(t, starts, 4)
	require.Equal(t, 1000, s.Cancel(ids...))
	require.Zero(t, s.Cancel("unknown"))
	stops := s.Place(t0, 1000)
	require.Len(t, stops, 4)
	for _, c := range stops {
		require.Equal(t, CommandStop, c.Kind)
		require.NoError(t, s.Report(Report{Kind: ReportStopped, Job: c.Job, Token: c.Token}, t0))
	}
	require.Empty(t, s.Place(at(time.Hour), 1000))
	require.Zero(t, s.Waiting())
}

// An urgent job must throttle a batch task when that frees enough, instead of
// stopping it, and the batch task must get its processors back afterwards.
func TestUrgentJobThrottlesBeforeStopping(t *testing.T) {
	s := newFleet(Options{}, 1)
	j := batchJob("slow", 16)
	j.Throttleable, j.Checkpoints = true, true
	require.NoError(t, s.Submit(j, t0))
	token := s.Place(t0, 9)[0].Token
	require.NoError(t, s.Submit(urgentJob("u", 8), t0))
	c := s.Place(t0, 9)
	require.Equal(t, []string{"throttle slow"}, commandSummaries(c))
	require.Equal(t, 8000, c[0].Size.MilliCores)
	require.NoError(t, s.Report(Report{Kind: ReportThrottled, Job: "slow", Token: token}, t0))
	c = s.Place(t0, 9)
	require.Equal(t, []string{"start u"}, commandSummaries(c))
	require.NoError(t, s.Report(Report{Kind: ReportFinished, Job: "u", Token: c[0].Token}, at(time.Second)))
	c = s.Place(at(time.Second), 9)
	require.Equal(t, []string{"restore slow"}, commandSummaries(c))
	require.Equal(t, 16000, c[0].Size.MilliCores)
}

// A checkpoint that hangs must not delay an urgent job beyond the timeout, and
// progress that is saved late must still reach the next run.
func TestCheckpointTimeoutBecomesStop(t *testing.T) {
	s := newFleet(Options{}, 1)
	j := batchJob("b", 16)
	j.Checkpoints = true
	require.NoError(t, s.Submit(j, t0))
	token := s.Place(t0, 9)[0].Token
	require.NoError(t, s.Submit(urgentJob("u", 1), t0))
	require.Equal(t, []string{"checkpoint b"}, commandSummaries(s.Place(t0, 9)))
	require.Empty(t, s.Place(at(10*time.Second), 9))
	require.Equal(t, []string{"stop b"}, commandSummaries(s.Place(at(11*time.Second), 9)))
	require.NoError(t, s.Report(Report{Kind: ReportCheckpointed, Job: "b", Token: token, Progress: 7 * time.Second}, at(12*time.Second)))
	c := s.Place(at(12*time.Second), 9)
	require.Equal(t, []string{"start u"}, commandSummaries(c))
	require.NoError(t, s.Report(Report{Kind: ReportFinished, Job: "u", Token: c[0].Token}, at(13*time.Second)))
	c = s.Place(at(13*time.Second), 9)
	require.Equal(t, []string{"start b"}, commandSummaries(c))
	require.Equal(t, 7*time.Second, c[0].Progress)
}

// Guards against starvation: under a continuous load of small urgent jobs, a
// batch job that needs a whole worker must still start.
func TestLargeBatchJobIsNotStarved(t *testing.T) {
	s := newFleet(Options{}, 2)
	now, n := t0, 0
	var running []Command
	for ; n < 32; n++ {
		require.NoError(t, s.Submit(urgentJob(fmt.Sprint("u", n), 1), now))
	}
	running = s.Place(now, 100)
	big := batchJob("big", 16)
	big.Team = "other"
	require.NoError(t, s.Submit(big, now))
	for now.Before(at(2 * time.Hour)) {
		now = now.Add(5 * time.Second)
		c := running[0]
		running = running[1:]
		for _, r := range running {
			require.NoError(t, s.Report(Report{Kind: ReportRunning, Job: r.Job, Token: r.Token}, now))
		}
		require.NoError(t, s.Report(Report{Kind: ReportFinished, Job: c.Job, Token: c.Token}, now))
		for range 2 {
			n++
			require.NoError(t, s.Submit(urgentJob(fmt.Sprint("u", n), 1), now))
		}
		for _, c := range s.Place(now, 100) {
			if c.Job == "big" {
				return
			}
			running = append(running, c)
		}
	}
	t.Fatal("the batch job did not start within 2 hours")
}

// Weights must divide the fleet between teams that each ask for all of it, and a
// quota must hold even if workers are free.
func TestWeightsAndQuotas(t *testing.T) {
	s := newFleet(Options{}, 4)
	s.SetTeam(structs.Team{Name: "a", Weight: 3})
	s.SetTeam(structs.Team{Name: "b", Weight: 1})
	s.SetTeam(structs.Team{Name: "c", Weight: 9, Jobs: 2})
	for i := range 64 {
		for _, team := range []string{"a", "b", "c"} {
			j := batchJob(fmt.Sprint(team, i), 1)
			j.Team = team
			require.NoError(t, s.Submit(j, t0))
		}
	}
	count := map[byte]int{}
	for _, c := range s.Place(t0, 42) {
		count[c.Job[0]]++
	}
	require.Equal(t, map[byte]int{'a': 30, 'b': 10, 'c': 2}, count)
}

// Declared sizes and run times that are far off must be corrected after a few
// runs; otherwise workers run out of memory.
func TestCorrectsDeclaredSizes(t *testing.T) {
	s := newFleet(Options{}, 1)
	for i := range 10 {
		require.NoError(t, s.Submit(batchJob(fmt.Sprint(i), 1), at(time.Duration(i)*time.Minute)))
		c := s.Place(at(time.Duration(i)*time.Minute), 1)[0]
		require.NoError(t, s.Report(Report{Kind: ReportFinished, Job: c.Job, Token: c.Token,
			Used: Size{500, 8000, 0}, Ran: 3 * time.Minute}, at(time.Duration(i)*time.Minute)))
	}
	j := batchJob("x", 1)
	size := s.corrections.Size(&j)
	require.InDelta(t, 500, size.MilliCores, 5)
	require.InDelta(t, 8000, size.MemoryMB, 80)
	require.InDelta(t, 180, s.corrections.Runtime(&j, "plain").Seconds(), 2)
	for i := range 9 {
		require.NoError(t, s.Submit(batchJob(fmt.Sprint("x", i), 1), at(time.Hour)))
	}
	require.Len(t, s.Place(at(time.Hour), 100), 4, "a worker with 32 GB holds four jobs that use 8 GB each, whatever they declare")
}

// The allocations must add up after any order of events, and every job must end.
// Leaked capacity or lost jobs would show in production only after days.
func TestAccountingInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Options{Policy: Policy(rapid.IntRange(0, 4).Draw(t, "policy"))}, 0)
		for i := range 4 {
			s.AddWorker(fmt.Sprint("p", i), plainType)
		}
		s.AddWorker("a", acceleratorType)
		now, live := t0, map[string]uint64{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "dt")) * time.Second)
			j := batchJob(fmt.Sprint("j", i), rapid.IntRange(1, 20).Draw(t, "cores"))
			j.Team = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team")
			j.Class = rapid.SampledFrom([]structs.Class{structs.ClassUrgent, structs.ClassStandard, structs.ClassBatch}).Draw(t, "class")
			j.Checkpoints, j.Throttleable = rapid.Bool().Draw(t, "saves"), rapid.Bool().Draw(t, "throttles")
			require.NoError(t, s.Submit(j, now))
			for _, c := range s.Place(now, 100) {
				live[c.Job] = c.Token
			}
			checkNoMissedPlacement(t, s)
			id := fmt.Sprint("j", rapid.IntRange(0, i).Draw(t, "which"))
			kind := rapid.SampledFrom([]ReportKind{ReportRunning, ReportThrottled, ReportCheckpointed, ReportStopped, ReportFinished, ReportFailed, "cancel"}).Draw(t, "report")
			if kind == "cancel" {
				s.Cancel(id)
			} else {
				_ = s.Report(Report{Kind: kind, Job: id, Token: live[id], Used: Size{rapid.IntRange(0, 9000).Draw(t, "used"), 500, 0}}, now)
			}
			checkAccounting(t, s)
		}
		for range 2000 {
			now = now.Add(time.Second)
			for _, c := range s.Place(now, 100) {
				if c.Kind == CommandStart {
					require.NoError(t, s.Report(Report{Kind: ReportFinished, Job: c.Job, Token: c.Token}, now))
				}
			}
		}
		checkAccounting(t, s)
		require.Empty(t, s.jobs)
	})
}

// checkNoMissedPlacement searches all workers for each job that Place tries: the
// caches that skip searches must not leave usable capacity idle.
func checkNoMissedPlacement(t *rapid.T, s *Scheduler) {
	for _, tm := range s.teams {
		for l := range tm.queues {
			tried := 0
			for _, e := range tm.queues[l].jobs {
				if !e.current() || tried == backfillDepth {
					continue
				}
				tried++
				for _, w := range s.workers {
					need := s.correctedSize(e.job)
					require.False(t, w.bucket >= 0 && w.accepts(e.job, need), "%s with %v fits %s with %v", e.job.ID, need, w.id, w.free)
				}
			}
		}
	}
}

// checkAccounting compares the counters of workers and teams, the reservations
// and the index with the tasks of the workers.
func checkAccounting(t *rapid.T, s *Scheduler) {
	running := 0
	inUse := map[*team]Size{}
	for _, w := range s.workers {
		var alloc, preemptible Size
		for _, j := range w.tasks {
			require.Same(t, w, j.worker)
			alloc = alloc.Plus(j.alloc)
			inUse[j.team] = inUse[j.team].Plus(j.alloc)
			if j.run.preemptible {
				preemptible = preemptible.Plus(j.alloc)
			}
		}
		running += len(w.tasks)
		require.Equal(t, w.group.Capacity, w.free.Plus(alloc))
		require.Equal(t, preemptible, w.preemptible)
		if w.reservedFor != nil {
			require.Same(t, w, w.reservedFor.reservedWorker)
		}
		if w.bucket >= 0 {
			require.Same(t, w, w.group.buckets[w.bucket][w.bucketPos])
			require.Equal(t, w.group.bucketOf(w.free), w.bucket)
			for _, failed := range w.group.failedSearches {
				require.False(t, failed.Fits(w.free) && w.reservedFor == nil && !w.probation, "%v fits %s", failed, w.id)
			}
		}
	}
	require.Equal(t, running, s.Running())
	for _, tm := range s.teams {
		require.Equal(t, inUse[tm], tm.inUse)
	}
}
