package history

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/carobwharf/carobwharf/structs"
)

// onceInput is the input of an operation on one key: a request, or an observation
// of the endpoints' effects after all requests.
type onceInput struct {
	id      string
	observe bool
}

type onceOutput struct {
	outcome    structs.Outcome
	executedID string // request that a done answer names as executed
	sum        string
	effects    []string // requests that were executed; only for an observation
}

// onceState is the state of a key. executedID is empty before the execution; sum
// is empty until an answer has been given.
type onceState struct{ executedID, sum string }

// OnceModel returns the sequential specification of a non-idempotent key. At most
// one request with the key is executed, and every done answer is the answer of
// that execution. A request with outcome not-run does not change the state, so it
// cannot be the executed one. A request with outcome unknown may or may not have
// been executed.
func OnceModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{onceState{}} },
		Step: func(state, in, out any) []any {
			return onceStep(state.(onceState), in.(onceInput), out.(onceOutput))
		},
		DescribeOperation: func(in, out any) string {
			o := out.(onceOutput)
			return fmt.Sprintf("%s -> %s %s", in.(onceInput).id, o.outcome, o.executedID)
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
		if s.executedID == "" {
			return []any{s, onceState{executedID: in.id}}
		}
		return []any{s}
	}
}

func doneStep(s onceState, in onceInput, out onceOutput) []any {
	switch {
	case s.executedID == "" && out.executedID == in.id:
		return []any{onceState{executedID: in.id, sum: out.sum}}
	case s.executedID == out.executedID && (s.sum == "" || s.sum == out.sum):
		return []any{onceState{executedID: s.executedID, sum: out.sum}}
	}
	return nil
}

func observeStep(s onceState, effects []string) []any {
	switch {
	case len(effects) == 0 && s.executedID == "":
		return []any{s}
	case len(effects) == 1 && effects[0] == s.executedID:
		return []any{s}
	}
	return nil
}

// Linearize checks the history of each non-idempotent key against OnceModel. It
// returns a finding for each key whose history is not linearizable, and for each
// key whose check did not finish within timeout.
func Linearize(h *History, opt Options, timeout time.Duration) []Finding {
	parts := operationsByKey(h, opt)
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

func operationsByKey(h *History, opt Options) map[keyID][]porcupine.Operation {
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
			parts[k] = append(parts[k], newOperation(r, answers[r.ID]))
		}
	}
	closeOpenOperations(parts, h, opt, last)
	return parts
}

// openReturn is the return time of an operation that may take effect at any time
// after its call.
const openReturn = -1

func newOperation(r *Request, a *Answer) porcupine.Operation {
	op := porcupine.Operation{
		Input: onceInput{id: r.ID}, Call: int64(r.Sent), Return: openReturn,
		Output: onceOutput{outcome: structs.OutcomeUnknown},
	}
	if a == nil || a.Error != "" {
		return op
	}
	switch {
	case a.Outcome == structs.OutcomeNotRun:
		op.Output, op.Return = onceOutput{outcome: a.Outcome}, int64(a.At)
	case isSuccess(a):
		op.Output, op.Return = onceOutput{outcome: a.Outcome, executedID: a.BodyID, sum: a.Sum}, int64(a.At)
	}
	return op
}

// closeOpenOperations sets the return time of the open operations to the end of
// the history and appends the observation of the effects after them.
func closeOpenOperations(parts map[keyID][]porcupine.Operation, h *History, opt Options, last time.Duration) {
	effects := map[keyID][]string{}
	for _, e := range h.Effects {
		k := keyID{e.Service, e.Key}
		effects[k] = append(effects[k], e.ID)
	}
	end := int64(last) + 1
	for k, ops := range parts {
		for i := range ops {
			if ops[i].Return == openReturn {
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
