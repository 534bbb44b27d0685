package load

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// recentKeys is how many keys a flow keeps for repeats. Repeats of recent keys
// are the hard case: the first attempt may still be in progress.
const recentKeys = 64

// Call is one call of the schedule.
type Call struct {
	At      time.Duration // intended start
	Flow    *Flow
	Request structs.Request // Arrived and Deadline are set when it is sent
}

type keyed struct {
	key  string
	body []byte
}

type stream struct {
	flow   *Flow
	next   time.Duration
	count  int
	recent []keyed
}

// Schedule yields the calls of a mix in order of their intended start. The
// same mix and seed give the same calls.
type Schedule struct {
	rng     *rand.Rand
	seed    uint64
	until   time.Duration
	streams []*stream
}

// NewSchedule returns the schedule of a checked mix over the given length.
// Arrivals are Poisson with the flow's rate at that moment.
func NewSchedule(mix Mix, seed uint64, length time.Duration) *Schedule {
	s := &Schedule{rng: rand.New(rand.NewPCG(seed, 0x10ad)), seed: seed, until: length}
	for i := range mix {
		st := &stream{flow: &mix[i]}
		s.advance(st)
		s.streams = append(s.streams, st)
	}
	return s
}

// advance moves the stream to its next arrival by thinning a Poisson process
// of the flow's greatest rate.
func (s *Schedule) advance(st *stream) {
	top := st.flow.maxRate()
	for st.next < s.until {
		st.next += time.Duration(s.rng.ExpFloat64() / top * float64(time.Second))
		if s.rng.Float64()*top < st.flow.RateAt(st.next) {
			return
		}
	}
}

// Next returns the next call, or false at the end.
func (s *Schedule) Next() (Call, bool) {
	first := s.streams[0]
	for _, st := range s.streams[1:] {
		if st.next < first.next {
			first = st
		}
	}
	if first.next >= s.until {
		return Call{}, false
	}
	c := Call{At: first.next, Flow: first.flow, Request: s.request(first)}
	s.advance(first)
	return c, true
}

func (s *Schedule) request(st *stream) structs.Request {
	f := st.flow
	st.count++
	r := structs.Request{
		ID: fmt.Sprintf("%x-%s-%d", s.seed, f.Name, st.count), Service: f.Service,
		Operation: f.Operation, Team: f.Team, ContentType: "application/octet-stream",
	}
	if !f.Once {
		r.Body = s.body(f.Body)
		return r
	}
	if len(st.recent) > 0 && s.rng.Float64() < f.Repeat {
		k := st.recent[s.rng.IntN(len(st.recent))]
		r.Key, r.Body = k.key, k.body
		return r
	}
	r.Key, r.Body = "key-"+r.ID, s.body(f.Body)
	if len(st.recent) < recentKeys {
		st.recent = append(st.recent, keyed{r.Key, r.Body})
	} else {
		st.recent[st.count%recentKeys] = keyed{r.Key, r.Body}
	}
	return r
}

func (s *Schedule) body(n int) []byte {
	b := make([]byte, 0, n+8)
	for len(b) < n {
		b = binary.LittleEndian.AppendUint64(b, s.rng.Uint64())
	}
	return b[:n]
}
