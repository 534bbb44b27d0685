package dispatch

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Smoothing of the running means: an endpoint's own values follow its latest
// ten or so results, the reference values of a service some fifty.
const (
	endpointWeight = 0.1
	serviceWeight  = 0.02
	minSamples     = 10
	maxRatio       = 6 // one very long request does not decide about an endpoint
)

// Result is what an attempt says about its endpoint.
type Result struct {
	Service int // index of the service; latencies are compared within one service
	Kind    structs.EndpointResultKind
	Failed  bool
	Leaving bool
	Latency time.Duration
}

// Done ends a pick with a result. It updates the endpoint's limit, its
// ejection and its signs of leaving.
func (s *Set) Done(now time.Time, id Endpoint, r Result) {
	e := &s.endpoints[id]
	probed := e.probing
	e.probing = false
	e.inFlight--
	svc := s.service(r.Service)
	ratio := svc.observe(r)
	bad := r.Failed || r.Kind != structs.EndpointAnswered
	e.observe(r, ratio, bad, svc)
	s.adapt(now, e, r, bad)
	switch {
	case e.ejected && probed:
		s.judgeProbe(now, e, bad || ratio > s.opts.SlowRatio)
	case !e.ejected && s.isOutlier(e, bad):
		s.eject(now, e)
	}
	if r.Leaving {
		s.hold(now, id)
	}
	s.refresh(now, id)
	s.reschedule(e)
}

func (s *Set) service(i int) *serviceStats {
	for len(s.services) <= i {
		s.services = append(s.services, serviceStats{})
	}
	return &s.services[i]
}

// observe updates the reference values and returns the latency relative to
// the service's mean.
func (v *serviceStats) observe(r Result) (ratio float64) {
	v.samples++
	weight := max(serviceWeight, 1/float64(v.samples))
	failed := 0.0
	if r.Failed || r.Kind == structs.EndpointBroken || r.Kind == structs.EndpointTimedOut {
		failed = 1
	}
	v.failRate += weight * (failed - v.failRate)
	if r.Kind != structs.EndpointAnswered {
		return 1
	}
	latency := r.Latency.Seconds()
	ratio = 1
	if v.samples > 2*minSamples && v.latency > 0 {
		ratio = min(maxRatio, latency/v.latency)
	}
	if v.latency == 0 {
		v.latency = latency
	}
	v.latency += weight * (latency - v.latency)
	return ratio
}

// observe updates the endpoint's own values. A failure counts less when the
// service fails everywhere, since then it says little about the endpoint. A
// connection that cannot be made always counts in full.
func (e *endpoint) observe(r Result, ratio float64, bad bool, svc *serviceStats) {
	e.samples++
	if !bad {
		e.inRow = 0
		e.failRate -= endpointWeight * e.failRate
		e.slowness += endpointWeight * (ratio - e.slowness)
		return
	}
	evidence := 1 - svc.failRate
	switch r.Kind {
	case structs.EndpointNotReached:
		evidence = 1
	case structs.EndpointRefused:
		evidence = 0.5 // mostly a sign of load, which the limit follows
	}
	e.inRow += evidence
	e.failRate += endpointWeight * (evidence - e.failRate)
}

// adapt moves the concurrency limit: down to the level at which the endpoint
// refused, down by part on timeouts and high latency, up by part when the
// limit was reached and the endpoint answered.
func (s *Set) adapt(now time.Time, e *endpoint, r Result, bad bool) {
	switch {
	case r.Kind == structs.EndpointRefused && !r.Leaving:
		e.limit = max(1, min(e.limit, float64(e.inFlight)))
		e.ceiling, e.ceilingUntil = e.limit, now.Add(s.opts.CeilingHold)
	case r.Kind == structs.EndpointTimedOut:
		e.limit = max(1, 0.7*e.limit)
	case bad:
	case e.slowness > 2:
		e.limit = max(1, 0.95*e.limit)
	case int(e.inFlight)+1 >= e.limitInt():
		s.grow(now, e)
	}
	e.limit = min(e.limit, max(1, s.top(e)))
}

func (s *Set) grow(now time.Time, e *endpoint) {
	if now.Before(e.ceilingUntil) && e.limit >= e.ceiling {
		return
	}
	step := 1.0
	if e.limit >= float64(e.share) || !e.ceilingUntil.IsZero() {
		step = 0.25 / e.limit
	}
	e.limit += step
}

func (s *Set) top(e *endpoint) float64 {
	if e.pool != NoPool && s.pools[e.pool].grow {
		return s.opts.Growth * float64(e.share)
	}
	return float64(e.share)
}

func (s *Set) isOutlier(e *endpoint, bad bool) bool {
	if bad {
		return e.inRow >= s.opts.FailuresInRow || (e.samples >= 2*minSamples && e.failRate > 0.5)
	}
	return e.samples >= minSamples && e.slowness > s.opts.SlowRatio
}

// eject takes an endpoint out of service unless the pool's cap is reached.
func (s *Set) eject(now time.Time, e *endpoint) {
	if e.pool == NoPool {
		return
	}
	p := &s.pools[e.pool]
	if p.ejected+1 > s.ejectCap(p) {
		return
	}
	p.ejected++
	e.ejected, e.probesOK = true, 0
	s.extend(now, e)
}

func (s *Set) extend(now time.Time, e *endpoint) {
	e.probeAt = now.Add(s.opts.EjectFor << min(e.ejections, 4))
	e.ejections++
}

func (s *Set) judgeProbe(now time.Time, e *endpoint, bad bool) {
	if bad {
		e.probesOK = 0
		s.extend(now, e)
		return
	}
	e.probesOK++
	e.probeAt = now
	if e.probesOK < s.opts.ProbesToReturn {
		return
	}
	if e.pool != NoPool {
		s.pools[e.pool].ejected--
	}
	e.ejected, e.ejections = false, 0
	e.inRow, e.failRate, e.slowness, e.samples = 0, 0, 1, 0
	e.limit = 1
}
