package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/standin/units"
)

// Faults are the rate limits and injected faults, which can change at run time.
// POST /faults changes the fields that are present in its JSON body and keeps
// the others.
type Faults struct {
	WriteRate float64        `json:"write_rate"` // limit in writes/s; a transaction, an object or a reboot counts as one write
	ReadRate  float64        `json:"read_rate"`  // limit in reads/s; a scan counts as one read
	Delay     units.Duration `json:"delay"`      // added to every response
	Outage    bool           `json:"outage"`     // every call is answered with 503

	LoseAnswer  float64 `json:"lose_answer"`  // probability that a write is applied and its connection closed without a response
	RefuseWrite float64 `json:"refuse_write"` // probability that a write is answered with 503 and not applied

	// Freeze accepts calls without answering them. When it is switched off, the
	// held calls are executed, however old they are.
	Freeze bool `json:"freeze"`
	// Silence, when it changes to true, stops all responses on the connections
	// that are open at that moment; connections opened later work.
	Silence bool `json:"silence"`

	VMLag units.Duration `json:"vm_lag"` // age of the VM list and of usage reports

	FailWorkers []string `json:"fail_workers"` // workers on which every started task fails
	// The actual run time and resource use of a task are the declared ones times
	// a log-normal factor with these sigmas; with 0 the declared values are exact.
	RunSigma   float64 `json:"run_sigma"`
	UsageSigma float64 `json:"usage_sigma"`
}

// DefaultFaults returns the rate limits that carobwharf is designed for, and no
// injected faults.
func DefaultFaults() Faults {
	return Faults{WriteRate: 300, ReadRate: 2000}
}

// mergeJSON returns a copy of f with the fields that are present in body replaced.
func (f Faults) mergeJSON(body []byte) (Faults, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return Faults{}, fmt.Errorf("faults: %w", err)
	}
	return f, nil
}

// burstSeconds is the capacity of a token bucket, as the time in which it fills.
// With a capacity of one second, twice the rate would pass in the first second.
const burstSeconds = 0.25

// tokenBucket limits the rate of calls. A rate of 0 or less means no limit.
type tokenBucket struct {
	tokens     float64
	lastRefill time.Time
}

func (b *tokenBucket) take(rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	burst := max(rate*burstSeconds, 1)
	if b.lastRefill.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.lastRefill).Seconds())
	}
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
