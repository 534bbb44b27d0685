package dispatch

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Weights of the exponential moving averages: an endpoint's own values cover
// about its latest 10 results, the means of a service about 50.
const (
	endpointWeight  = 0.1
	serviceWeight   = 0.02
	minSamples      = 10
	maxLatencyRatio = 6 // bound of one sample, so that one long request doesn't eject an endpoint
)

// Result is what the result of a request shows about its endpoint.
type Result struct {
	Service int // index of the service; latencies are compared within one service
	Kind    structs.EndpointResultKind
	Failed  bool // the endpoint reported an error of its own
	Leaving bool // the endpoint announced that it is leaving
	Latency time.Duration
}

// Done ends a pick with a result. It updates the endpoint's limit, ejection and
// hold time.
func (s *Set) Done(now time.Time, id Endpoint, r Result) {
	e := &s.endpoints[id]
	probed := e.probing
	e.probing = false
	e.inFlight--
	stats := s.statsOf(r.Service)
	ratio := stats.observe(r)
	failed := r.Failed || r.Kind != structs.EndpointAnswered
	e.observe(r, ratio, failed, stats)
	s.adaptLimit(now, e, r, failed)
	switch {
	case e.ejected && probed:
		s.recordProbe(now, e, failed || ratio > s.opts.SlowRatio)
	case !e.ejected && s.isOutlier(e, failed):
		s.eject(now, e)
	}
	if r.Leaving {
		s.hold(now, id)
	}
	s.refresh(now, id)
	s.rescheduleProbe(e)
}

func (s *Set) statsOf(i int) *serviceStats {
	for len(s.services) <= i {
		s.services = append(s.services, serviceStats{})
	}
	return &s.services[i]
}

// observe updates the means of the service and returns the latency relative to
// its mean, or 1 if there is no latency or there are too few samples.
func (v *serviceStats) observe(r Result) (ratio float64) {
	v.samples++
	weight := max(serviceWeight, 1/float64(v.samples))
	failed := 0.0
	if r.Failed || r.Kind == structs.EndpointNoAnswer || r.Kind == structs.EndpointTimedOut {
		failed = 1
	}
	v.failureRate += weight * (failed - v.failureRate)
	if r.Kind != structs.EndpointAnswered {
		return 1
	}
	latency := r.Latency.Seconds()
	ratio = 1
	if v.samples > 2*minSamples && v.meanLatency > 0 {
		ratio = min(maxLatencyRatio, latency/v.meanLatency)
	}
	if v.meanLatency == 0 {
		v.meanLatency = latency
	}
	v.meanLatency += weight * (latency - v.meanLatency)
	return ratio
}

// observe updates the endpoint's own averages. A failure counts less when the
// service also fails on other endpoints, since it is then weak evidence against
// this endpoint. A failure to connect always counts in full.
func (e *endpoint) observe(r Result, ratio float64, failed bool, stats *serviceStats) {
	e.samples++
	if !failed {
		e.failuresInRow = 0
		e.failureRate -= endpointWeight * e.failureRate
		e.latencyRatio += endpointWeight * (ratio - e.latencyRatio)
		return
	}
	evidence := 1 - stats.failureRate
	switch r.Kind {
	case structs.EndpointNotReached:
		evidence = 1
	case structs.EndpointRefused:
		evidence = 0.5 // mostly caused by load, to which the limit adapts
	}
	e.failuresInRow += evidence
	e.failureRate += endpointWeight * (evidence - e.failureRate)
}

// adaptLimit adapts the concurrency limit. A refusal lowers it to the concurrency
// at which the endpoint refused the request, timeouts and high latency reduce it
// by a factor, and a success while the limit was reached raises it.
func (s *Set) adaptLimit(now time.Time, e *endpoint, r Result, failed bool) {
	switch {
	case r.Kind == structs.EndpointRefused && !r.Leaving:
		e.limit = max(1, min(e.limit, float64(e.inFlight)))
		e.refusalCeiling, e.ceilingUntil = e.limit, now.Add(s.opts.CeilingHold)
	case r.Kind == structs.EndpointTimedOut:
		e.limit = max(1, 0.7*e.limit)
	case failed:
	case e.latencyRatio > 2:
		e.limit = max(1, 0.95*e.limit)
	case int(e.inFlight)+1 >= e.intLimit():
		s.increaseLimit(now, e)
	}
	e.limit = min(e.limit, max(1, s.maxLimit(e)))
}

// increaseLimit raises the limit after a success, unless the limit has reached
// the ceiling that a recent refusal set. While the limit is below the gateway's
// share of the slots and the endpoint has refused no request, each success raises
// it by 1. Otherwise about 4*limit successes raise it by 1.
func (s *Set) increaseLimit(now time.Time, e *endpoint) {
	if now.Before(e.ceilingUntil) && e.limit >= e.refusalCeiling {
		return
	}
	step := 1.0
	if e.limit >= float64(e.slotShare) || !e.ceilingUntil.IsZero() {
		step = 0.25 / e.limit
	}
	e.limit += step
}

// maxLimit returns the upper bound of an endpoint's limit.
func (s *Set) maxLimit(e *endpoint) float64 {
	if e.pool != NoPool && s.pools[e.pool].mayGrow {
		return s.opts.MaxGrowth * float64(e.slotShare)
	}
	return float64(e.slotShare)
}

func (s *Set) isOutlier(e *endpoint, failed bool) bool {
	if failed {
		return e.failuresInRow >= s.opts.ConsecutiveFailures || (e.samples >= 2*minSamples && e.failureRate > 0.5)
	}
	return e.samples >= minSamples && e.latencyRatio > s.opts.SlowRatio
}

// eject ejects an endpoint unless the pool already has the maximum number of
// ejected endpoints.
func (s *Set) eject(now time.Time, e *endpoint) {
	if e.pool == NoPool {
		return
	}
	p := &s.pools[e.pool]
	if p.ejected+1 > s.maxEjected(p) {
		return
	}
	p.ejected++
	e.ejected, e.successfulProbes = true, 0
	s.extendEjection(now, e)
}

// extendEjection schedules the next probe of an ejected endpoint with
// exponential backoff.
func (s *Set) extendEjection(now time.Time, e *endpoint) {
	e.probeAt = now.Add(s.opts.EjectionTime << min(e.ejections, 4))
	e.ejections++
}

// recordProbe applies the result of a probe. After enough successful ones the
// endpoint returns with a limit of 1 and without its history.
func (s *Set) recordProbe(now time.Time, e *endpoint, failed bool) {
	if failed {
		e.successfulProbes = 0
		s.extendEjection(now, e)
		return
	}
	e.successfulProbes++
	e.probeAt = now
	if e.successfulProbes < s.opts.ProbesToReturn {
		return
	}
	if e.pool != NoPool {
		s.pools[e.pool].ejected--
	}
	e.ejected, e.ejections = false, 0
	e.failuresInRow, e.failureRate, e.latencyRatio, e.samples = 0, 0, 1, 0
	e.limit = 1
}
