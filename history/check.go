package history

import (
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

const defaultWait = 10 * time.Second

// keyID identifies an idempotency record. Each service has its own key space.
type keyID struct{ service, key string }

type checker struct {
	opt          Options
	h            *History
	report       *Report
	requests     map[string]*Request
	answers      map[string]*Answer
	effects      map[string][]*Effect // by request
	effectsByKey map[keyID][]*Effect  // effects of non-idempotent operations
	firstAnswers map[keyID]*Answer    // first successful answer for a non-idempotent key
}

// Check reports every violation in the history. Linearize is a second,
// independent check of non-idempotent keys.
func Check(h *History, opt Options) *Report {
	if opt.Wait <= 0 {
		opt.Wait = defaultWait
	}
	c := &checker{
		opt: opt, h: h,
		report:       &Report{Counts: map[string]*Counts{}},
		requests:     make(map[string]*Request, len(h.Requests)),
		answers:      make(map[string]*Answer, len(h.Answers)),
		effects:      make(map[string][]*Effect, len(h.Effects)),
		effectsByKey: map[keyID][]*Effect{},
		firstAnswers: map[keyID]*Answer{},
	}
	c.indexRequests()
	c.indexAnswers()
	c.indexEffects()
	c.checkOnceKeys()
	for i := range h.Requests {
		c.checkRequest(&h.Requests[i])
	}
	return c.report
}

func (c *checker) addFinding(k Kind, r *Request, format string, args ...any) {
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
			c.addFinding(KindDuplicateID, r, "two requests have this identifier")
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
			c.addFinding(KindStrayAnswer, &Request{ID: a.ID}, "outcome %q at %v", a.Outcome, a.At)
		case c.answers[a.ID] != nil:
			c.addFinding(KindSecondAnswer, r, "outcome %q at %v after %q", a.Outcome, a.At, c.answers[a.ID].Outcome)
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
			c.addFinding(KindStrayEffect, &Request{ID: e.ID, Service: e.Service, Key: e.Key}, "executed on %s", e.VM)
			continue
		}
		c.effects[e.ID] = append(c.effects[e.ID], e)
		if e.Digest != r.Digest || e.Service != r.Service || e.Operation != r.Operation || e.Key != r.Key {
			c.addFinding(KindCorruptEffect, r, "%s executed %s/%s key %q with body %.12s, sent was %s/%s with body %.12s",
				e.VM, e.Service, e.Operation, e.Key, e.Digest, r.Service, r.Operation, r.Digest)
		}
		if r.Once {
			k := keyID{r.Service, r.Key}
			c.effectsByKey[k] = append(c.effectsByKey[k], e)
		}
	}
}

func (c *checker) checkOnceKeys() {
	for i := range c.h.Requests {
		r := &c.h.Requests[i]
		k := keyID{r.Service, r.Key}
		if list := c.effectsByKey[k]; r.Once && len(list) > 1 && list[0].ID == r.ID {
			c.addFinding(KindRepeatedEffect, r, "executed %d times, as %s on %s and as %s on %s",
				len(list), list[0].ID, list[0].VM, list[1].ID, list[1].VM)
		}
		a := c.answers[r.ID]
		if !r.Once || a == nil || !isSuccess(a) {
			continue
		}
		if first := c.firstAnswers[k]; first == nil {
			c.firstAnswers[k] = a
		} else if first.Sum != a.Sum {
			c.addFinding(KindAnswerChanged, r, "body %.12s, request %s of the same key got %.12s", a.Sum, first.ID, first.Sum)
		}
	}
}

// isSuccess reports whether an endpoint gave the answer after it executed the
// request. A status of 400 or more is an error of the endpoint: its body has no
// fixed form, and the request may or may not have been executed.
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
	if a.AnsweredID != "" && a.AnsweredID != r.ID {
		c.addFinding(KindWrongAnswer, r, "answer carries the identifier of request %s", a.AnsweredID)
	}
	switch a.Outcome {
	case structs.OutcomeDone:
		if isSuccess(a) {
			c.checkBody(r, a)
			c.checkDone(r, a)
		}
	case structs.OutcomeNotRun:
		if list := c.effects[r.ID]; len(list) > 0 {
			c.addFinding(KindFalseNotRun, r, "executed on %s, the caller was told not-run (%s)", list[0].VM, a.Reason)
		}
	case structs.OutcomeUnknown:
	default:
		c.addFinding(KindUnknownOutcome, r, "outcome %q", a.Outcome)
	}
}

func (c *checker) checkLost(r *Request, until time.Duration, why string) {
	if waited := until - r.Sent; waited >= c.opt.Wait {
		c.addFinding(KindLost, r, "the caller waited %v: %s", waited, why)
	}
}

func (c *checker) checkBody(r *Request, a *Answer) {
	switch {
	case !a.Complete:
		c.addFinding(KindTruncated, r, "status %d, the body is not a complete answer", a.Status)
	case a.Digest != r.Digest:
		c.addFinding(KindWrongAnswer, r, "answer is for body %.12s, sent was %.12s", a.Digest, r.Digest)
	case a.BodyID != r.ID && !c.sameKey(r, a.BodyID):
		c.addFinding(KindWrongAnswer, r, "answer is for request %s", a.BodyID)
	}
}

// sameKey reports whether the other request has the same non-idempotent key as
// r. If so, its stored answer is also the correct answer to r.
func (c *checker) sameKey(r *Request, other string) bool {
	o := c.requests[other]
	return r.Once && r.Key != "" && o != nil && o.Once && o.Service == r.Service && o.Key == r.Key
}

func (c *checker) checkDone(r *Request, a *Answer) {
	if c.opt.WithoutEffects || !a.Complete {
		return
	}
	if len(c.effects[a.BodyID]) == 0 {
		c.addFinding(KindDoneNoEffect, r, "answer names request %s, which no endpoint executed", a.BodyID)
	}
}
