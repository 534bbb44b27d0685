package endpoint

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/standin/units"
)

// Faults are the fault switches of one endpoint. CutAnswer, LoseAnswer and
// WrongID are probabilities from 0 to 1.
type Faults struct {
	FailAll bool           `json:"fail_all"` // answer 500 at once and execute nothing
	Slow    units.Duration `json:"slow"`     // added to each service time
	// Freeze accepts requests without answering them. When it changes to
	// false, the held requests are executed regardless of their age.
	Freeze bool `json:"freeze"`
	// Silence, when it changes to true, stops all answers on the connections
	// that are open at that moment; connections opened later work.
	Silence bool `json:"silence"`

	CutAnswer   float64        `json:"cut_answer"`  // close the connection in the middle of the body
	LoseAnswer  float64        `json:"lose_answer"` // execute, then close the connection without an answer
	WrongID     float64        `json:"cross_id"`    // answer with the id of the previous request
	AnswerDelay units.Duration `json:"late"`        // delay between execution and answer

	// Leaving answers 503 with Connection: close. If RefuseAfter is not 0,
	// connections are refused as well after that time.
	Leaving     bool           `json:"leaving"`
	RefuseAfter units.Duration `json:"refuse_after"`
	// Down refuses connections and closes the open ones.
	Down bool `json:"down"`
	// FlapPeriod alternates between failing all requests and regular service,
	// each for half of the period.
	FlapPeriod units.Duration `json:"flap_period"`
}

// Change is the body of POST /faults: fault switches of one endpoint, or of all
// if Endpoint is empty. Fields missing from Faults keep their value.
type Change struct {
	Endpoint string          `json:"endpoint"` // VM id
	Faults   json.RawMessage `json:"faults"`
}

func (f Faults) mergeJSON(body []byte) (Faults, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return Faults{}, fmt.Errorf("faults: %w", err)
	}
	return f, nil
}

// failing reports whether requests fail at once at the time now; since is the
// time at which the switches were set.
func (f *Faults) failing(since, now time.Time) bool {
	if f.FailAll {
		return true
	}
	period := time.Duration(f.FlapPeriod)
	return period > 0 && now.Sub(since)%period < period/2
}

// refusing reports whether connections are refused at the time now; since is
// the time at which the switches were set.
func (f *Faults) refusing(since, now time.Time) bool {
	return f.Down || f.Leaving && f.RefuseAfter > 0 && now.Sub(since) >= time.Duration(f.RefuseAfter)
}
