package dispatch

import (
	"math/bits"
	"time"
)

// PickOptions is the argument of Pick.
type PickOptions struct {
	Pool  Pool
	Avoid Endpoint // endpoint of an earlier attempt, used only if no other has room; NoEndpoint if there is none
	Probe bool     // the request may be sent to an ejected endpoint as a probe
}

// Pick chooses the endpoint with the lowest load level, or if opts.Probe is set
// an ejected one that is due for a probe, and counts the request as in flight
// there. Done or Release must end the pick. Pick returns NoEndpoint if no
// endpoint has room. It does not allocate.
func (s *Set) Pick(now time.Time, opts PickOptions) (e Endpoint, probe bool) {
	if opts.Pool == NoPool {
		return NoEndpoint, false
	}
	p := &s.pools[opts.Pool]
	if opts.Probe && s.ProbeDue(now, opts.Pool) {
		if id := s.takeProbe(now, p); id != NoEndpoint {
			return id, true
		}
	}
	id := s.leastLoaded(p, opts.Avoid)
	if id == NoEndpoint {
		return NoEndpoint, false
	}
	s.endpoints[id].inFlight++
	s.reindex(id)
	return id, false
}

// leastLoaded returns an endpoint of the lowest load level that has endpoints, in
// round-robin order within the level. It returns the endpoint avoid only if no
// other endpoint has room.
func (s *Set) leastLoaded(p *pool, avoid Endpoint) Endpoint {
	fallback := NoEndpoint
	for nonEmptyLevels := p.nonEmptyLevels; nonEmptyLevels != 0; nonEmptyLevels &= nonEmptyLevels - 1 {
		level := bits.TrailingZeros32(nonEmptyLevels)
		skip := int32(-1)
		if avoid != NoEndpoint && int(s.endpoints[avoid].level) == level && s.endpoints[avoid].pool == s.poolID(p) {
			skip = s.endpoints[avoid].position
			fallback = avoid
		}
		if pos := p.next(level, skip); pos >= 0 {
			p.cursor = pos + 1
			return p.members[pos]
		}
	}
	return fallback
}

func (s *Set) poolID(p *pool) Pool { return s.endpoints[p.members[0]].pool }

// next returns the first position with an endpoint of the level, at or after the
// cursor and wrapping around. It leaves out the position skip, and returns -1 if
// there is none.
func (p *pool) next(level int, skip int32) int32 {
	words := p.levelBitmaps[level]
	start := int(p.cursor) >> 6
	if start >= p.bitmapWords {
		start = 0
	}
	low := uint(p.cursor) & 63
	for i := 0; i <= p.bitmapWords; i++ {
		w := start + i
		if w >= p.bitmapWords {
			w -= p.bitmapWords
		}
		word := words[w]
		if i == 0 {
			word &= ^uint64(0) << low
		}
		if skip >= 0 && int(skip)>>6 == w {
			word &^= 1 << (uint(skip) & 63)
		}
		if word != 0 {
			return int32(w<<6 + bits.TrailingZeros64(word))
		}
	}
	return -1
}

// takeProbe picks an ejected endpoint that is due for a probe and may serve, or
// returns NoEndpoint.
func (s *Set) takeProbe(now time.Time, p *pool) Endpoint {
	for _, id := range p.members {
		e := &s.endpoints[id]
		if e.ejected && !e.probing && e.inFlight == 0 && !now.Before(e.probeAt) && e.mayServe(now) {
			e.probing = true
			e.inFlight++
			s.scheduleProbe(p)
			return id
		}
	}
	s.scheduleProbe(p)
	return NoEndpoint
}

// scheduleProbe computes when the next endpoint of the pool may be probed. An
// endpoint with requests in flight, such as a probe, is considered again when
// they end.
func (s *Set) scheduleProbe(p *pool) {
	p.probeAt = time.Time{}
	if p.ejected == 0 {
		return
	}
	for _, id := range p.members {
		e := &s.endpoints[id]
		if e.ejected && !e.probing && e.inFlight == 0 {
			p.probeAt = earlier(p.probeAt, e.probeAt)
		}
	}
}

// Release ends a pick whose request was not sent.
func (s *Set) Release(id Endpoint) {
	e := &s.endpoints[id]
	e.inFlight--
	e.probing = false
	s.reindex(id)
	s.rescheduleProbe(e)
}

func (s *Set) rescheduleProbe(e *endpoint) {
	if e.ejected && e.pool != NoPool {
		s.scheduleProbe(&s.pools[e.pool])
	}
}

// reindex moves an endpoint to the level of its load and updates the pool's
// sums.
func (s *Set) reindex(id Endpoint) {
	e := &s.endpoints[id]
	if e.pool == NoPool {
		e.level = -1
		return
	}
	p := &s.pools[e.pool]
	var capacity, free int32
	level := int8(-1)
	if e.available {
		capacity = int32(e.intLimit())
		free = max(0, capacity-e.inFlight)
		if free > 0 {
			level = int8(e.inFlight * loadLevels / capacity)
		}
	}
	p.capacity += capacity - e.capacity
	p.free += free - e.free
	e.capacity, e.free = capacity, free
	if level != e.level {
		p.move(e.position, e.level, level)
		e.level = level
	}
}

func (p *pool) move(position int32, from, to int8) {
	word, bit := position>>6, uint64(1)<<(uint(position)&63)
	if from >= 0 {
		p.levelBitmaps[from][word] &^= bit
		p.levelCounts[from]--
		if p.levelCounts[from] == 0 {
			p.nonEmptyLevels &^= 1 << uint(from)
		}
	}
	if to >= 0 {
		p.levelBitmaps[to][word] |= bit
		p.levelCounts[to]++
		p.nonEmptyLevels |= 1 << uint(to)
	}
}
