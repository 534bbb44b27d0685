package history

import (
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

const defaultWait = 10 * time.Second

// keyID identifies an idempotency record: keys are separate for each service.
type keyID struct{ service, key string }

type checker struct {
	opt      Options
	h        *History
	report   *Report
	requests map[string]*Request
	answers  map[string]*Answer
	effects  map[string][]*Effect // by request
	byKey    map[keyID][]*Effect  // of once operations
	first    map[keyID]*Answer    // first done answer of a once key
}

// Check reports every violation in the history. Linearize is the second,
// independent check of non-idempotent keys.
func Check(h *History, opt Options) *Report {
	if opt.Wait <= 0 {
		opt.Wait = defaultWait
	}
	c := &checker{
		opt: opt, h: h,
		report:   &Report{Counts: map[string]*Counts{}},
		requests: make(map[string]*Request, len(h.Requests)),
		answers:  make(map[string]*Answer, len(h.Answers)),
		effects:  make(map[string][]*Effect, len(h.Effects)),
		byKey:    map[keyID][]*Effect{},
		first:    map[keyID]*Answer{},
	}
	c.indexRequests()
	c.indexAnswers()
	c.indexEffects()
	c.checkKeys()
	for i := range h.Requests {
		c.checkRequest(&h.Requests[i])
	}
	return c.report
}

func (c *checker) add(k Kind, r *Request, format string, args ...any) {
	c.report.Findings = append(c.report.Findings, Finding{
		Kind: k, Service: r.Service, RequestID: r.ID, Key: r.Key, Detail: fmt.Sprintf(format, args...),
	})
}

func (c *checker) counts(service string) *Counts {
	n := c.report.Counts[service]
	if n == nil {
		n = &Counts{}
		c.report.Counts[service] = n
	}
	return n
}

func (c *checker) indexRequests() {
	for i := range c.h.Requests {
		r := &c.h.Requests[i]
		c.counts(r.Service).Sent++
		if c.requests[r.ID] != nil {
			c.add(KindDuplicateID, r, "two requests have this identifier")
			continue
		}
		c.requests[r.ID] = r
	}
}

func (c *checker) indexAnswers() {
	for i := range c.h.Answers {
		a := &c.h.Answers[i]
		r := c.requests[a.ID]
		switch {
		case r == nil:
			c.add(KindStrayAnswer, &Request{ID: a.ID}, "outcome %q at %v", a.Outcome, a.At)
		case c.answers[a.ID] != nil:
			c.add(KindSecondAnswer, r, "outcome %q at %v after %q", a.Outcome, a.At, c.answers[a.ID].Outcome)
		default:
			c.answers[a.ID] = a
		}
	}
}

func (c *checker) indexEffects() {
	for i := range c.h.Effects {
		e := &c.h.Effects[i]
		c.counts(e.Service).Effects++
		r := c.requests[e.ID]
		if r == nil {
			c.add(KindStrayEffect, &Request{ID: e.ID, Service: e.Service, Key: e.Key}, "executed on %s", e.VM)
			continue
		}
		c.effects[e.ID] = append(c.effects[e.ID], e)
		if e.Digest != r.Digest || e.Service != r.Service || e.Operation != r.Operation || e.Key != r.Key {
			c.add(KindCorruptEffect, r, "%s executed %s/%s key %q with body %.12s, sent was %s/%s with body %.12s",
				e.VM, e.Service, e.Operation, e.Key, e.Digest, r.Service, r.Operation, r.Digest)
		}
		if r.Once {
			k := keyID{r.Service, r.Key}
			c.byKey[k] = append(c.byKey[k], e)
		}
	}
}

func (c *checker) checkKeys() {
	for i := range c.h.Requests {
		r := &c.h.Requests[i]
		k := keyID{r.Service, r.Key}
		if list := c.byKey[k]; r.Once && len(list) > 1 && list[0].ID == r.ID {
			c.add(KindRepeatedEffect, r, "executed %d times, as %s on %s and as %s on %s",
				len(list), list[0].ID, list[0].VM, list[1].ID, list[1].VM)
		}
		a := c.answers[r.ID]
		if !r.Once || a == nil || !isSuccess(a) {
			continue
		}
		if first := c.first[k]; first == nil {
			c.first[k] = a
		} else if first.Sum != a.Sum {
			c.add(KindAnswerChanged, r, "body %.12s, request %s of the same key got %.12s", a.Sum, first.ID, first.Sum)
		}
	}
}

// isSuccess reports whether the answer is one that an endpoint gave after it
// executed the request. A status of 400 or more is the endpoint's own error:
// its body has no fixed form and its effect is open.
func isSuccess(a *Answer) bool {
	return a.Outcome == structs.OutcomeDone && a.Status < 400
}

func (c *checker) checkRequest(r *Request) {
	n := c.counts(r.Service)
	a := c.answers[r.ID]
	if a == nil {
		n.NoAnswer++
		c.checkLost(r, c.h.End, "no answer was recorded")
		return
	}
	if a.Error != "" {
		n.Error++
		c.checkLost(r, a.At, a.Error)
		return
	}
	n.add(a.Outcome, a.Replayed)
	if a.For != "" && a.For != r.ID {
		c.add(KindWrongAnswer, r, "answer carries the identifier of request %s", a.For)
	}
	switch a.Outcome {
	case structs.OutcomeDone:
		if isSuccess(a) {
			c.checkBody(r, a)
			c.checkDone(r, a)
		}
	case structs.OutcomeNotRun:
		if list := c.effects[r.ID]; len(list) > 0 {
			c.add(KindFalseNotRun, r, "executed on %s, the caller was told not-run (%s)", list[0].VM, a.Reason)
		}
	case structs.OutcomeUnknown:
	default:
		c.add(KindUnknownOutcome, r, "outcome %q", a.Outcome)
	}
}

func (c *checker) checkLost(r *Request, until time.Duration, why string) {
	if waited := until - r.Sent; waited >= c.opt.Wait {
		c.add(KindLost, r, "the caller waited %v: %s", waited, why)
	}
}

func (c *checker) checkBody(r *Request, a *Answer) {
	switch {
	case !a.Whole:
		c.add(KindTruncated, r, "status %d, the body is not a complete answer", a.Status)
	case a.Digest != r.Digest:
		c.add(KindWrongAnswer, r, "answer is for body %.12s, sent was %.12s", a.Digest, r.Digest)
	case a.BodyID != r.ID && !c.sameKey(r, a.BodyID):
		c.add(KindWrongAnswer, r, "answer is for request %s", a.BodyID)
	}
}

// sameKey reports whether the other request has the non-idempotent key of r,
// so that its recorded answer is the right one for r.
func (c *checker) sameKey(r *Request, other string) bool {
	o := c.requests[other]
	return r.Once && r.Key != "" && o != nil && o.Once && o.Service == r.Service && o.Key == r.Key
}

func (c *checker) checkDone(r *Request, a *Answer) {
	if c.opt.WithoutEffects || !a.Whole {
		return
	}
	if len(c.effects[a.BodyID]) == 0 {
		c.add(KindDoneNoEffect, r, "answer names request %s, which no endpoint executed", a.BodyID)
	}
}
