package history

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobwharf/carobwharf/structs"
)

func newRequest(id, key string, sent time.Duration) Request {
	return Request{ID: id, Service: "payout", Operation: "pay", Key: key, Once: true, Digest: "d-" + key, Sent: sent}
}

func doneAnswer(id, executedID, key string, at time.Duration) Answer {
	return Answer{ID: id, At: at, Outcome: structs.OutcomeDone, Status: 200, Complete: true,
		BodyID: executedID, Digest: "d-" + key, Sum: "s-" + executedID, Replayed: id != executedID}
}

func refusedAnswer(id string, o structs.Outcome, at time.Duration) Answer {
	return Answer{ID: id, At: at, Outcome: o, Status: 503}
}

func newEffect(id, key string) Effect {
	return Effect{ID: id, Key: key, Service: "payout", Operation: "pay", VM: "vm-1", Digest: "d-" + key}
}

// correctHistory returns a history with a single execution, a replay after an
// unknown outcome, and a second attempt after a refusal.
func correctHistory() *History {
	return &History{
		Requests: []Request{newRequest("a", "k1", 0), newRequest("b", "k2", 1), newRequest("c", "k2", 10), newRequest("d", "k3", 2), newRequest("e", "k3", 12)},
		Answers: []Answer{
			doneAnswer("a", "a", "k1", 5), refusedAnswer("b", structs.OutcomeUnknown, 6), doneAnswer("c", "b", "k2", 15),
			refusedAnswer("d", structs.OutcomeNotRun, 4), doneAnswer("e", "e", "k3", 20),
		},
		Effects: []Effect{newEffect("a", "k1"), newEffect("b", "k2"), newEffect("e", "k3")},
		End:     time.Minute,
	}
}

func ExampleCheck() {
	h := correctHistory()
	h.Effects = append(h.Effects, newEffect("c", "k2"))
	fmt.Print(Check(h, Options{}))
	// Output:
	// payout: sent 5, done 3, not-run 1, unknown 1, error 0, no answer 0, replayed 1, effects 4
	// repeated-effect service=payout request=b key=k2: executed 2 times, as b on vm-1 and as c on vm-1
}

// A checker that misses a kind of violation, or reports it as another kind, would
// hide the fault. Each case makes one change to the correct history. linearizable
// tells whether the linearizability check must still accept the history.
func TestCheckFindsEachViolation(t *testing.T) {
	cases := map[string]struct {
		change       func(h *History)
		want         []Kind
		linearizable bool
	}{
		"correct":                              {func(*History) {}, nil, true},
		"answer to another request":            {func(h *History) { h.Answers[0].BodyID = "e" }, []Kind{KindWrongAnswer}, false},
		"refusal of another request":           {func(h *History) { h.Answers[3].AnsweredID = "e" }, []Kind{KindWrongAnswer}, true},
		"answer for another body":              {func(h *History) { h.Answers[0].Digest = "d-k2" }, []Kind{KindWrongAnswer}, true},
		"truncated":                            {func(h *History) { h.Answers[0].Complete = false }, []Kind{KindTruncated}, true},
		"request executed twice":               {func(h *History) { h.Effects = append(h.Effects, newEffect("a", "k1")) }, []Kind{KindRepeatedEffect}, false},
		"refused request executed":             {func(h *History) { h.Effects = append(h.Effects, newEffect("d", "k3")) }, []Kind{KindRepeatedEffect, KindFalseNotRun}, false},
		"executed but reported as not run":     {func(h *History) { h.Answers[0] = refusedAnswer("a", structs.OutcomeNotRun, 5) }, []Kind{KindFalseNotRun}, false},
		"done without effect":                  {func(h *History) { h.Effects = h.Effects[1:] }, []Kind{KindDoneNoEffect}, false},
		"replay of a request that was not run": {func(h *History) { h.Answers[4].BodyID = "d" }, []Kind{KindDoneNoEffect}, false},
		"no answer":                            {func(h *History) { h.Answers = h.Answers[1:] }, []Kind{KindLost}, true},
		"error after the wait": {func(h *History) {
			h.Answers[0] = NewAnswer("a", 11*time.Second, structs.Answer{}, errors.New("timeout"))
		}, []Kind{KindLost}, true},
		"error before the end of the wait": {func(h *History) { h.Answers[0] = NewAnswer("a", 5, structs.Answer{}, errors.New("reset")) }, nil, true},
		"effect with another body":         {func(h *History) { h.Effects[0].Digest = "d-k2" }, []Kind{KindCorruptEffect}, true},
		"effect without a request":         {func(h *History) { h.Effects[0].ID = "zz" }, []Kind{KindStrayEffect, KindDoneNoEffect}, false},
		"answer without a request":         {func(h *History) { h.Answers = append(h.Answers, doneAnswer("zz", "zz", "k1", 9)) }, []Kind{KindStrayAnswer}, true},
		"second answer":                    {func(h *History) { h.Answers = append(h.Answers, doneAnswer("a", "a", "k1", 9)) }, []Kind{KindSecondAnswer}, true},
		"no outcome":                       {func(h *History) { h.Answers[3].Outcome = "" }, []Kind{KindUnknownOutcome}, true},
		"changed answer": {func(h *History) {
			h.Requests = append(h.Requests, newRequest("f", "k2", 16))
			h.Answers = append(h.Answers, doneAnswer("f", "b", "k2", 18))
			h.Answers[5].Sum = "other"
		}, []Kind{KindAnswerChanged}, false},
		"answer before the executed request was sent": {func(h *History) { h.Requests[1].Sent = 16 }, nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := correctHistory()
			c.change(h)
			var got []Kind
			for _, f := range Check(h, Options{}).Findings {
				got = append(got, f.Kind)
			}
			require.ElementsMatch(t, c.want, got)
			require.Equal(t, c.linearizable, len(Linearize(h, Options{}, time.Second)) == 0)
		})
	}
}

// An answer body truncated at any byte must not count as complete.
func TestTruncationAtEveryByte(t *testing.T) {
	body := []byte(`{"id":"a","digest":"0f","vm":"vm-1","key":"k1"}`)
	for n := range body {
		require.False(t, NewAnswer("a", 0, structs.Answer{Body: body[:n]}, nil).Complete, "cut at %d", n)
	}
	require.True(t, NewAnswer("a", 0, structs.Answer{Body: body}, nil).Complete)
}

// A record that is lost or changed in the file would hide violations or report
// false ones.
func TestWriteReadRoundTrip(t *testing.T) {
	var buf bytes.Buffer
	require.NoError(t, Write(&buf, correctHistory()))
	got, err := Read(&buf)
	require.NoError(t, err)
	require.Equal(t, correctHistory(), got)
	_, err = Read(bytes.NewBufferString("{\"request\":{\"id\":\"a\"}}\n{}\n"))
	require.ErrorContains(t, err, "record 2")
}

// Neither check may report a violation in a history that a correct system can
// produce, in particular one with lost answers, refusals and concurrent requests
// with the same key.
func TestCorrectHistoriesPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &History{End: time.Hour}
		executedID := ""
		for i := range rapid.IntRange(1, 8).Draw(t, "requests") {
			id := fmt.Sprint(i)
			at := time.Duration(10 * i)
			h.Requests = append(h.Requests, newRequest(id, "k", at-time.Duration(rapid.IntRange(0, 30).Draw(t, "overlap"))))
			if executedID == "" && rapid.Bool().Draw(t, "runs") {
				executedID = id
				h.Effects = append(h.Effects, newEffect(id, "k"))
			}
			switch a := rapid.IntRange(0, 2).Draw(t, "answer"); {
			case a == 0 && executedID != "":
				h.Answers = append(h.Answers, doneAnswer(id, executedID, "k", at+5))
			case a == 1 && executedID != id:
				h.Answers = append(h.Answers, refusedAnswer(id, structs.OutcomeNotRun, at+5))
			default:
				h.Answers = append(h.Answers, refusedAnswer(id, structs.OutcomeUnknown, at+5))
			}
		}
		require.Empty(t, Check(h, Options{}).Findings)
		require.Empty(t, Linearize(h, Options{}, time.Second))
	})
}
