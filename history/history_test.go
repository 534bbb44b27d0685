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

func req(id, key string, sent time.Duration) Request {
	return Request{ID: id, Service: "payout", Operation: "pay", Key: key, Once: true, Digest: "d-" + key, Sent: sent}
}

func done(id, ranAs, key string, at time.Duration) Answer {
	return Answer{ID: id, At: at, Outcome: structs.OutcomeDone, Status: 200, Whole: true,
		BodyID: ranAs, Digest: "d-" + key, Sum: "s-" + ranAs, Replayed: id != ranAs}
}

func refusal(id string, o structs.Outcome, at time.Duration) Answer {
	return Answer{ID: id, At: at, Outcome: o, Status: 503}
}

func effect(id, key string) Effect {
	return Effect{ID: id, Key: key, Service: "payout", Operation: "pay", VM: "vm-1", Digest: "d-" + key}
}

// correct is a history with a plain execution, a replay after an unknown
// outcome, and a second attempt after a refusal.
func correct() *History {
	return &History{
		Requests: []Request{req("a", "k1", 0), req("b", "k2", 1), req("c", "k2", 10), req("d", "k3", 2), req("e", "k3", 12)},
		Answers: []Answer{
			done("a", "a", "k1", 5), refusal("b", structs.OutcomeUnknown, 6), done("c", "b", "k2", 15),
			refusal("d", structs.OutcomeNotRun, 4), done("e", "e", "k3", 20),
		},
		Effects: []Effect{effect("a", "k1"), effect("b", "k2"), effect("e", "k3")},
		End:     time.Minute,
	}
}

func ExampleCheck() {
	h := correct()
	h.Effects = append(h.Effects, effect("c", "k2"))
	fmt.Print(Check(h, Options{}))
	// Output:
	// payout: sent 5, done 3, not-run 1, unknown 1, error 0, no answer 0, replayed 1, effects 4
	// repeated-effect service=payout request=b key=k2: executed 2 times, as b on vm-1 and as c on vm-1
}

// A checker that misses one kind of violation, or that reports another kind
// for it, would let the fault pass as correct. Each case changes one fact of
// the correct history. linear says whether the model must refuse it as well.
func TestCheckFindsEachViolation(t *testing.T) {
	cases := map[string]struct {
		change func(h *History)
		want   []Kind
		linear bool
	}{
		"correct":           {func(*History) {}, nil, true},
		"crossed answer":    {func(h *History) { h.Answers[0].BodyID = "e" }, []Kind{KindWrongAnswer}, false},
		"crossed refusal":   {func(h *History) { h.Answers[3].For = "e" }, []Kind{KindWrongAnswer}, true},
		"crossed body":      {func(h *History) { h.Answers[0].Digest = "d-k2" }, []Kind{KindWrongAnswer}, true},
		"truncated":         {func(h *History) { h.Answers[0].Whole = false }, []Kind{KindTruncated}, true},
		"second execution":  {func(h *History) { h.Effects = append(h.Effects, effect("a", "k1")) }, []Kind{KindRepeatedEffect}, false},
		"second attempt":    {func(h *History) { h.Effects = append(h.Effects, effect("d", "k3")) }, []Kind{KindRepeatedEffect, KindFalseNotRun}, false},
		"false not-run":     {func(h *History) { h.Answers[0] = refusal("a", structs.OutcomeNotRun, 5) }, []Kind{KindFalseNotRun}, false},
		"done, no effect":   {func(h *History) { h.Effects = h.Effects[1:] }, []Kind{KindDoneNoEffect}, false},
		"replay of not-run": {func(h *History) { h.Answers[4].BodyID = "d" }, []Kind{KindDoneNoEffect}, false},
		"no answer":         {func(h *History) { h.Answers = h.Answers[1:] }, []Kind{KindLost}, true},
		"late error": {func(h *History) {
			h.Answers[0] = NewAnswer("a", 11*time.Second, structs.Answer{}, errors.New("timeout"))
		}, []Kind{KindLost}, true},
		"early error":    {func(h *History) { h.Answers[0] = NewAnswer("a", 5, structs.Answer{}, errors.New("reset")) }, nil, true},
		"corrupt effect": {func(h *History) { h.Effects[0].Digest = "d-k2" }, []Kind{KindCorruptEffect}, true},
		"stray effect":   {func(h *History) { h.Effects[0].ID = "zz" }, []Kind{KindStrayEffect, KindDoneNoEffect}, false},
		"stray answer":   {func(h *History) { h.Answers = append(h.Answers, done("zz", "zz", "k1", 9)) }, []Kind{KindStrayAnswer}, true},
		"second answer":  {func(h *History) { h.Answers = append(h.Answers, done("a", "a", "k1", 9)) }, []Kind{KindSecondAnswer}, true},
		"no outcome":     {func(h *History) { h.Answers[3].Outcome = "" }, []Kind{KindUnknownOutcome}, true},
		"changed answer": {func(h *History) {
			h.Requests = append(h.Requests, req("f", "k2", 16))
			h.Answers = append(h.Answers, done("f", "b", "k2", 18))
			h.Answers[5].Sum = "other"
		}, []Kind{KindAnswerChanged}, false},
		"answer before the execution began": {func(h *History) { h.Requests[1].Sent = 16 }, nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := correct()
			c.change(h)
			var got []Kind
			for _, f := range Check(h, Options{}).Findings {
				got = append(got, f.Kind)
			}
			require.ElementsMatch(t, c.want, got)
			require.Equal(t, c.linear, len(Linearize(h, Options{}, time.Second)) == 0)
		})
	}
}

// An endpoint's body cut at any byte must not count as a whole answer.
func TestTruncationAtEveryByte(t *testing.T) {
	body := []byte(`{"id":"a","digest":"0f","vm":"vm-1","key":"k1"}`)
	for n := range body {
		require.False(t, NewAnswer("a", 0, structs.Answer{Body: body[:n]}, nil).Whole, "cut at %d", n)
	}
	require.True(t, NewAnswer("a", 0, structs.Answer{Body: body}, nil).Whole)
}

// A record that does not survive the file would hide or invent violations.
func TestFileKeepsTheHistory(t *testing.T) {
	var buf bytes.Buffer
	require.NoError(t, Write(&buf, correct()))
	got, err := Read(&buf)
	require.NoError(t, err)
	require.Equal(t, correct(), got)
	_, err = Read(bytes.NewBufferString("{\"request\":{\"id\":\"a\"}}\n{}\n"))
	require.ErrorContains(t, err, "record 2")
}

// Histories that a correct system can produce must pass both checks, in
// particular with lost answers, refusals and concurrent repeats of a key.
func TestCorrectSystemsPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &History{End: time.Hour}
		ran := ""
		for i := range rapid.IntRange(1, 8).Draw(t, "requests") {
			id := fmt.Sprint(i)
			at := time.Duration(10 * i)
			h.Requests = append(h.Requests, req(id, "k", at-time.Duration(rapid.IntRange(0, 30).Draw(t, "overlap"))))
			if ran == "" && rapid.Bool().Draw(t, "runs") {
				ran = id
				h.Effects = append(h.Effects, effect(id, "k"))
			}
			switch a := rapid.IntRange(0, 2).Draw(t, "answer"); {
			case a == 0 && ran != "":
				h.Answers = append(h.Answers, done(id, ran, "k", at+5))
			case a == 1 && ran != id:
				h.Answers = append(h.Answers, refusal(id, structs.OutcomeNotRun, at+5))
			default:
				h.Answers = append(h.Answers, refusal(id, structs.OutcomeUnknown, at+5))
			}
		}
		require.Empty(t, Check(h, Options{}).Findings)
		require.Empty(t, Linearize(h, Options{}, time.Second))
	})
}
