package dispatch

import (
	"math/bits"
	"time"
)

// Choice is the input of Pick.
type Choice struct {
	Pool  Pool
	Avoid Endpoint // endpoint of an earlier attempt, used only if no other is free; None if there is none
	Probe bool     // the request may be sent to an ejected endpoint as a probe
}

// Pick chooses the endpoint with the least used part of its limit and counts
// the request as in flight there. It returns None if no endpoint has room. It
// allocates nothing.
func (s *Set) Pick(now time.Time, c Choice) (e Endpoint, probe bool) {
	if c.Pool == NoPool {
		return None, false
	}
	p := &s.pools[c.Pool]
	if c.Probe && s.ProbeDue(now, c.Pool) {
		if id := s.takeProbe(now, p); id != None {
			return id, true
		}
	}
	id := s.leastLoaded(p, c.Avoid)
	if id == None {
		return None, false
	}
	s.endpoints[id].inFlight++
	s.place(id)
	return id, false
}

// leastLoaded returns an endpoint of the lowest filled level. Endpoints of the
// same level take turns. The endpoint to avoid is returned if no other has
// room.
func (s *Set) leastLoaded(p *pool, avoid Endpoint) Endpoint {
	fallback := None
	for filled := p.filled; filled != 0; filled &= filled - 1 {
		level := bits.TrailingZeros32(filled)
		skip := int32(-1)
		if avoid != None && int(s.endpoints[avoid].level) == level && s.endpoints[avoid].pool == s.poolID(p) {
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

// next returns the first position of a level at or after the cursor, wrapping
// around, other than skip; -1 if there is none.
func (p *pool) next(level int, skip int32) int32 {
	words := p.bits[level]
	start := int(p.cursor) >> 6
	if start >= p.words {
		start = 0
	}
	low := uint(p.cursor) & 63
	for i := 0; i <= p.words; i++ {
		w := start + i
		if w >= p.words {
			w -= p.words
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
	return None
}

// scheduleProbe notes when the next endpoint of the pool may be probed. An
// endpoint that is being probed, still has requests in flight or is held is
// considered again when that ends.
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

// Release ends a pick without a result: nothing was sent.
func (s *Set) Release(id Endpoint) {
	e := &s.endpoints[id]
	e.inFlight--
	e.probing = false
	s.place(id)
	s.reschedule(e)
}

func (s *Set) reschedule(e *endpoint) {
	if e.ejected && e.pool != NoPool {
		s.scheduleProbe(&s.pools[e.pool])
	}
}

// place moves an endpoint to the level of its load and keeps the pool's sums.
func (s *Set) place(id Endpoint) {
	e := &s.endpoints[id]
	if e.pool == NoPool {
		e.level = -1
		return
	}
	p := &s.pools[e.pool]
	var capacity, free int32
	level := int8(-1)
	if e.open {
		capacity = int32(e.limitInt())
		free = max(0, capacity-e.inFlight)
		if free > 0 {
			level = int8(e.inFlight * levels / capacity)
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
		p.bits[from][word] &^= bit
		p.count[from]--
		if p.count[from] == 0 {
			p.filled &^= 1 << uint(from)
		}
	}
	if to >= 0 {
		p.bits[to][word] |= bit
		p.count[to]++
		p.filled |= 1 << uint(to)
	}
}
