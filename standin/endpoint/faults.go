package endpoint

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/standin/units"
)

// Faults are the switches of one endpoint. Probabilities are from 0 to 1.
type Faults struct {
	FailAll bool           `json:"fail_all"` // 500 at once, nothing is executed
	Slow    units.Duration `json:"slow"`     // added to each service time
	// Freeze accepts requests and answers none; after release the held
	// requests are executed, however old they are.
	Freeze bool `json:"freeze"`
	// Silence, when it changes to true, makes the connections open at that
	// moment never answer again; connections opened later work.
	Silence bool `json:"silence"`

	CutAnswer  float64        `json:"cut_answer"`  // the connection closes in the middle of the body
	LoseAnswer float64        `json:"lose_answer"` // executed, then the connection closes without an answer
	CrossID    float64        `json:"cross_id"`    // the answer carries the id of the request before
	Late       units.Duration `json:"late"`        // wait between execution and answer

	// Leaving answers 503 with Connection: close. After RefuseAfter, if it
	// is not 0, connections are refused as well.
	Leaving     bool           `json:"leaving"`
	RefuseAfter units.Duration `json:"refuse_after"`
	// Down refuses connections and breaks the open ones.
	Down bool `json:"down"`
	// FlapPeriod alternates between fail_all and regular service; each phase
	// takes half of it.
	FlapPeriod units.Duration `json:"flap_period"`
}

// Change is the body of POST /faults: switches of one endpoint, or of all if
// Endpoint is empty. Fields that are absent keep their value.
type Change struct {
	Endpoint string          `json:"endpoint"` // VM
	Faults   json.RawMessage `json:"faults"`
}

func (f Faults) merge(body []byte) (Faults, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return Faults{}, fmt.Errorf("faults: %w", err)
	}
	return f, nil
}

// failing reports whether requests fail at once at the time; since is when
// the switches were set.
func (f *Faults) failing(since, now time.Time) bool {
	if f.FailAll {
		return true
	}
	period := time.Duration(f.FlapPeriod)
	return period > 0 && now.Sub(since)%period < period/2
}

// refusing reports whether connections are refused at the time.
func (f *Faults) refusing(since, now time.Time) bool {
	return f.Down || f.Leaving && f.RefuseAfter > 0 && now.Sub(since) >= time.Duration(f.RefuseAfter)
}
