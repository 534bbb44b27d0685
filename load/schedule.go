package load

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// recentKeys is the number of keys that a flow keeps for repeats. Repeats of
// recent keys are the most demanding case, because the first request with the key
// may still be in progress.
const recentKeys = 64

// Call is one scheduled call.
type Call struct {
	At      time.Duration // intended start
	Flow    *Flow
	Request structs.Request // Arrived and Deadline are set when the request is sent
}

type keyedRequest struct {
	key  string
	body []byte
}

type stream struct {
	flow   *Flow
	nextAt time.Duration
	count  int
	recent []keyedRequest
}

// Schedule generates the calls of a mix in the order of their intended starts. The
// same mix and seed give the same calls.
type Schedule struct {
	rng     *rand.Rand
	seed    uint64
	until   time.Duration
	streams []*stream
}

// NewSchedule returns a schedule of the given length for a mix that has passed
// Check. Arrivals are a Poisson process with the flow's rate at each time.
func NewSchedule(mix Mix, seed uint64, length time.Duration) *Schedule {
	s := &Schedule{rng: rand.New(rand.NewPCG(seed, 0x10ad)), seed: seed, until: length}
	for i := range mix {
		st := &stream{flow: &mix[i]}
		s.advance(st)
		s.streams = append(s.streams, st)
	}
	return s
}

// advance sets the stream to its next arrival. It thins a Poisson process with the
// maximum rate of the flow.
func (s *Schedule) advance(st *stream) {
	peakRate := st.flow.maxRate()
	for st.nextAt < s.until {
		st.nextAt += time.Duration(s.rng.ExpFloat64() / peakRate * float64(time.Second))
		if s.rng.Float64()*peakRate < st.flow.RateAt(st.nextAt) {
			return
		}
	}
}

// Next returns the next call, or false at the end of the schedule.
func (s *Schedule) Next() (Call, bool) {
	earliest := s.streams[0]
	for _, st := range s.streams[1:] {
		if st.nextAt < earliest.nextAt {
			earliest = st
		}
	}
	if earliest.nextAt >= s.until {
		return Call{}, false
	}
	c := Call{At: earliest.nextAt, Flow: earliest.flow, Request: s.request(earliest)}
	s.advance(earliest)
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
		r.Body = s.body(f.BodyBytes)
		return r
	}
	if len(st.recent) > 0 && s.rng.Float64() < f.RepeatShare {
		k := st.recent[s.rng.IntN(len(st.recent))]
		r.Key, r.Body = k.key, k.body
		return r
	}
	r.Key, r.Body = "key-"+r.ID, s.body(f.BodyBytes)
	if len(st.recent) < recentKeys {
		st.recent = append(st.recent, keyedRequest{r.Key, r.Body})
	} else {
		st.recent[st.count%recentKeys] = keyedRequest{r.Key, r.Body}
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
