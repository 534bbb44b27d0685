package history

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/carobwharf/carobwharf/structs"
)

// onceInput is an operation on one key: a request, or the observation of the
// endpoints' effects after all requests.
type onceInput struct {
	id      string
	observe bool
}

type onceOutput struct {
	outcome structs.Outcome
	ranAs   string // request named in a done answer
	sum     string
	effects []string // requests executed, for an observation
}

// onceState is the state of a key. ranAs is empty before the execution; sum is
// empty until an answer is seen.
type onceState struct{ ranAs, sum string }

// OnceModel is the sequential specification of a non-idempotent key. At most
// one request executes. A done answer is that of the execution. A request
// that was not run leaves the state as it is and so can never have been the
// execution; an unknown one either executed at some time or did not.
func OnceModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{onceState{}} },
		Step: func(state, in, out any) []any {
			return onceStep(state.(onceState), in.(onceInput), out.(onceOutput))
		},
		DescribeOperation: func(in, out any) string {
			o := out.(onceOutput)
			return fmt.Sprintf("%s -> %s %s", in.(onceInput).id, o.outcome, o.ranAs)
		},
	}
	return m.ToModel()
}

func onceStep(s onceState, in onceInput, out onceOutput) []any {
	if in.observe {
		return observeStep(s, out.effects)
	}
	switch out.outcome {
	case structs.OutcomeNotRun:
		return []any{s}
	case structs.OutcomeDone:
		return doneStep(s, in, out)
	default:
		if s.ranAs == "" {
			return []any{s, onceState{ranAs: in.id}}
		}
		return []any{s}
	}
}

func doneStep(s onceState, in onceInput, out onceOutput) []any {
	switch {
	case s.ranAs == "" && out.ranAs == in.id:
		return []any{onceState{ranAs: in.id, sum: out.sum}}
	case s.ranAs == out.ranAs && (s.sum == "" || s.sum == out.sum):
		return []any{onceState{ranAs: s.ranAs, sum: out.sum}}
	}
	return nil
}

func observeStep(s onceState, effects []string) []any {
	switch {
	case len(effects) == 0 && s.ranAs == "":
		return []any{s}
	case len(effects) == 1 && effects[0] == s.ranAs:
		return []any{s}
	}
	return nil
}

// Linearize checks each non-idempotent key against OnceModel and returns a
// finding for each key whose history no order of execution explains. The
// check of one key takes at most timeout.
func Linearize(h *History, opt Options, timeout time.Duration) []Finding {
	parts := partitions(h, opt)
	keys := make([]keyID, 0, len(parts))
	for k := range parts {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		return strings.Compare(keys[i].service+"/"+keys[i].key, keys[j].service+"/"+keys[j].key) < 0
	})
	model := OnceModel()
	var out []Finding
	for _, k := range keys {
		f := Finding{Service: k.service, Key: k.key}
		switch porcupine.CheckOperationsTimeout(model, parts[k], timeout) {
		case porcupine.Ok:
			continue
		case porcupine.Illegal:
			f.Kind, f.Detail = KindNotLinearizable, fmt.Sprintf("%d operations", len(parts[k]))
		default:
			f.Kind, f.Detail = KindUndecided, fmt.Sprintf("no result after %v", timeout)
		}
		out = append(out, f)
	}
	return out
}

func partitions(h *History, opt Options) map[keyID][]porcupine.Operation {
	answers := make(map[string]*Answer, len(h.Answers))
	last := h.End
	for i := range h.Answers {
		answers[h.Answers[i].ID] = &h.Answers[i]
		last = max(last, h.Answers[i].At)
	}
	parts := map[keyID][]porcupine.Operation{}
	for i := range h.Requests {
		if r := &h.Requests[i]; r.Once {
			last = max(last, r.Sent)
			k := keyID{r.Service, r.Key}
			parts[k] = append(parts[k], operation(r, answers[r.ID]))
		}
	}
	finish(parts, h, opt, last)
	return parts
}

// open marks an operation whose effect may come at any later time.
const open = -1

func operation(r *Request, a *Answer) porcupine.Operation {
	op := porcupine.Operation{
		Input: onceInput{id: r.ID}, Call: int64(r.Sent), Return: open,
		Output: onceOutput{outcome: structs.OutcomeUnknown},
	}
	if a == nil || a.Error != "" {
		return op
	}
	switch {
	case a.Outcome == structs.OutcomeNotRun:
		op.Output, op.Return = onceOutput{outcome: a.Outcome}, int64(a.At)
	case isSuccess(a):
		op.Output, op.Return = onceOutput{outcome: a.Outcome, ranAs: a.BodyID, sum: a.Sum}, int64(a.At)
	}
	return op
}

// finish closes the open operations at the end of the history and adds the
// observation of effects behind them.
func finish(parts map[keyID][]porcupine.Operation, h *History, opt Options, last time.Duration) {
	effects := map[keyID][]string{}
	for _, e := range h.Effects {
		k := keyID{e.Service, e.Key}
		effects[k] = append(effects[k], e.ID)
	}
	end := int64(last) + 1
	for k, ops := range parts {
		for i := range ops {
			if ops[i].Return == open {
				ops[i].Return = end
			}
			ops[i].ClientId = i
		}
		if !opt.WithoutEffects {
			ops = append(ops, porcupine.Operation{
				ClientId: len(ops), Input: onceInput{observe: true}, Call: end + 1, Return: end + 2,
				Output: onceOutput{effects: effects[k]},
			})
		}
		parts[k] = ops
	}
}
