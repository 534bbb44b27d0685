package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/standin/units"
)

// Faults are the switches that change while the stand-in runs. POST /faults
// changes the fields that its JSON body names and keeps the others.
type Faults struct {
	WriteRate float64        `json:"write_rate"` // writes/s; a transaction, an object and a reboot count as one each
	ReadRate  float64        `json:"read_rate"`  // reads/s; a scan counts as one
	Delay     units.Duration `json:"delay"`      // of every answer
	Outage    bool           `json:"outage"`     // every call is answered with 503

	LoseAnswer  float64 `json:"lose_answer"`  // probability that a write applies and the connection closes without an answer
	RefuseWrite float64 `json:"refuse_write"` // probability that a write is answered with 503 and does not apply

	// Freeze accepts calls and answers none. After release the held calls
	// are executed, however old they are.
	Freeze bool `json:"freeze"`
	// Silence, when it changes to true, makes the connections open at that
	// moment never answer again; connections opened later work.
	Silence bool `json:"silence"`

	VMLag units.Duration `json:"vm_lag"` // age of the VM list and of usage reports

	FailWorkers []string `json:"fail_workers"` // workers that fail every task that starts there
	// The real run time and the real use of resources are the declared ones
	// times a lognormal factor with these sigmas; 0 makes declarations exact.
	RunSigma   float64 `json:"run_sigma"`
	UsageSigma float64 `json:"usage_sigma"`
}

// DefaultFaults returns the rates that carobwharf plans for and no faults.
func DefaultFaults() Faults {
	return Faults{WriteRate: 300, ReadRate: 2000}
}

func (f Faults) merge(body []byte) (Faults, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return Faults{}, fmt.Errorf("faults: %w", err)
	}
	return f, nil
}

// Tokens that a bucket holds, as a part of one second's rate. A full second
// would let twice the rate through in the first second.
const burstSeconds = 0.25

// bucket is a token bucket. A rate of 0 or less means no limit.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	burst := max(rate*burstSeconds, 1)
	if b.at.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
