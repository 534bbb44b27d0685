package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/history"
	"github.com/carobwharf/carobwharf/structs"
)

// fakeCaller answers after a delay, or fails when the context of the call ends.
type fakeCaller struct {
	delay time.Duration
	calls atomic.Int64
}

func (f *fakeCaller) Call(ctx context.Context, req *structs.Request) (structs.Answer, error) {
	f.calls.Add(1)
	select {
	case <-time.After(f.delay):
	case <-ctx.Done():
		return structs.Answer{}, ctx.Err()
	}
	body := fmt.Sprintf(`{"id":%q,"digest":%q}`, req.ID, history.Digest(req.Body))
	return structs.Answer{RequestID: req.ID, Outcome: structs.OutcomeDone, Status: 200, Body: []byte(body)}, nil
}

func singleFlowMix(rate float64) Mix {
	return Mix{{Name: "f", Service: "s", Operation: "o", Rate: rate, Shape: ShapeConstant, Deadline: time.Second, BodyBytes: 16}}
}

// The history of a run against a correct system must have one request and one
// answer for each call, and no finding.
func TestRunRecordsACorrectHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var file bytes.Buffer
		f := &fakeCaller{delay: 10 * time.Millisecond}
		res, err := Run(context.Background(), f, Options{Mix: singleFlowMix(100), Seed: 1, Length: 10 * time.Second, History: &file})
		require.NoError(t, err)
		s := res.Service("s")
		require.Equal(t, int(f.calls.Load()), s.Sent)
		require.Equal(t, s.Sent, s.Done)
		require.InDelta(t, 100, s.Goodput, 10)
		require.Equal(t, 10*time.Millisecond, s.P999)
		h, err := history.Read(&file)
		require.NoError(t, err)
		require.Len(t, h.Requests, s.Sent)
		require.Empty(t, history.Check(h, history.Options{WithoutEffects: true}).Findings)
	})
}

// A system that does not answer must neither slow the schedule down nor let the
// number of calls in flight grow without limit. Calls beyond the limit are
// refused; those in flight end after the deadline and the grace period, and count
// as lost.
func TestStalledSystem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var file bytes.Buffer
		f := &fakeCaller{delay: time.Hour}
		res, err := Run(context.Background(), f, Options{Mix: singleFlowMix(100), Seed: 2, Length: 3 * time.Second, MaxInFlight: 8, Grace: 9 * time.Second, History: &file})
		require.NoError(t, err)
		s := res.Service("s")
		require.Equal(t, 8, s.Errors)
		require.Equal(t, 8, s.Sent)
		require.InDelta(t, 300, s.Refused+s.Sent, 60)
		h, err := history.Read(&file)
		require.NoError(t, err)
		require.Equal(t, 8, history.Check(h, history.Options{WithoutEffects: true}).Count(history.KindLost))
	})
}

// The end of the context must end the schedule but not the calls in flight.
func TestInterruptKeepsCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		res, err := Run(ctx, &fakeCaller{delay: 500 * time.Millisecond}, Options{Mix: singleFlowMix(50), Seed: 3, Length: time.Hour})
		require.NoError(t, err)
		require.Equal(t, res.Service("s").Sent, res.Service("s").Done)
	})
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("disk full") }

// A run whose history could not be written must fail, or its findings would be
// incomplete.
func TestUnwritableHistoryFailsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, err := Run(context.Background(), &fakeCaller{}, Options{Mix: singleFlowMix(2000), Seed: 4, Length: 5 * time.Second, History: failingWriter{}})
		require.ErrorContains(t, err, "disk full")
	})
}

// A latency that was measured from the actual send would hide the delay before
// it.
func TestLatencyCountsFromTheIntendedStart(t *testing.T) {
	mix := singleFlowMix(1)
	results := newResultCollector()
	results.recordAnswer(&Call{At: time.Second, Flow: &mix[0]}, 4*time.Second, structs.Answer{Outcome: structs.OutcomeDone}, nil)
	s := results.result(time.Second).Service("s")
	require.Equal(t, 3*time.Second, s.P50)
	require.Equal(t, 1, s.Late)
}

// Peaks must keep the mean rate, reach 5 times the mean and fall to 1/20 of it,
// and must not overlap with phases 0.2 apart. A flood must end.
func TestFlowShapes(t *testing.T) {
	mix, err := ReadMix("testdata/lintang.ini")
	require.NoError(t, err)
	sum, peaks := 0.0, 0
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		inPeak := 0
		for i := range mix[:4] {
			if mix[i].RateAt(at) == 5*mix[i].Rate {
				inPeak++
			}
		}
		peaks = max(peaks, inPeak)
		sum += mix[0].RateAt(at)
	}
	require.InEpsilon(t, mix[0].Rate, sum/6000, 0.01)
	require.Equal(t, 1, peaks)
	require.Equal(t, 10.0, mix[0].RateAt(30*time.Second))
	require.Equal(t, []float64{50, 500, 50}, []float64{mix[4].RateAt(0), mix[4].RateAt(20 * time.Second), mix[4].RateAt(40 * time.Second)})
}

// Schedules with the same seed must be equal, so that runs can be compared, and a
// repeat must have the key and the body of an earlier request.
func TestScheduleIsSeededAndRepeatsKeys(t *testing.T) {
	mix, err := ReadMix("testdata/lintang.ini")
	require.NoError(t, err)
	a, b := NewSchedule(mix[:4], 7, time.Minute), NewSchedule(mix[:4], 7, time.Minute)
	bodies, repeats, keyed, last := map[string]string{}, 0, 0, time.Duration(0)
	for {
		c, ok := a.Next()
		d, _ := b.Next()
		if !ok {
			break
		}
		require.True(t, c.At == d.At && c.Request.ID == d.Request.ID && bytes.Equal(c.Request.Body, d.Request.Body), "at %v", c.At)
		require.True(t, c.At >= last)
		last = c.At
		if !c.Flow.Once || c.Flow.Name != "payout" {
			continue
		}
		keyed++
		if body, ok := bodies[c.Request.Key]; ok {
			require.Equal(t, body, string(c.Request.Body))
			repeats++
		}
		bodies[c.Request.Key] = string(c.Request.Body)
	}
	require.InDelta(t, 0.1, float64(repeats)/float64(keyed), 0.03)
}

// A mistake in a mix must be rejected with its position in the file, instead of
// running a different load.
func TestMixErrors(t *testing.T) {
	good, err := os.ReadFile("testdata/lintang.ini")
	require.NoError(t, err)
	for change, want := range map[[2]string]string{
		{"rate      = 200", "rate      = fast"}:    "m.ini:7: key rate",
		{"team      = sales", "tema      = sales"}: "m.ini:6: key tema: unknown key",
		{"shape     = peaks", "shape     = waves"}: "m.ini:3: flow grants: shape",
		{"[flow grants]", "[stream grants]"}:       "m.ini:3: section [stream grants]",
		{"[flow grants]", "[flow counter]"}:        "with a unique name",
		{"deadline  = 1s", "deadline  = 0s"}:       "m.ini:3: flow grants: deadline",
	} {
		_, err := ParseMix("m.ini", bytes.Replace(good, []byte(change[0]), []byte(change[1]), 1))
		require.ErrorContains(t, err, want)
	}
	_, err = ParseMix("m.ini", nil)
	require.ErrorContains(t, err, "no flow")
}

// Percentiles of small samples must be values from the sample.
func TestPercentile(t *testing.T) {
	require.Equal(t, time.Duration(0), Percentile(nil, 0.99))
	sample := []time.Duration{1, 2, 3, 4}
	require.Equal(t, []time.Duration{2, 4, 4, 1}, []time.Duration{
		Percentile(sample, 0.5), Percentile(sample, 0.99), Percentile(sample, 1), Percentile(sample, 0)})
}
