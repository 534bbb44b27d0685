package load

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Stats contains the results for one service. Latency percentiles are exact. They
// cover the done calls and are measured from the intended start.
type Stats struct {
	Service   string        `json:"service"`
	Sent      int           `json:"sent"`
	Refused   int           `json:"refused"` // not sent, because too many calls were in flight
	Done      int           `json:"done"`
	NotRun    int           `json:"notRun"`
	Unknown   int           `json:"unknown"`
	Errors    int           `json:"errors"`  // calls that ended without an answer
	Late      int           `json:"late"`    // done after the deadline
	Failed    int           `json:"failed"`  // done with a status of 400 or more
	Goodput   float64       `json:"goodput"` // done within the deadline and not failed, per second of the schedule
	P50       time.Duration `json:"p50"`
	P99       time.Duration `json:"p99"`
	P999      time.Duration `json:"p999"`
	MaxSkew   time.Duration `json:"maxSkew"` // maximum delay between the intended start and the actual one
	goodCount int
	latencies []time.Duration
}

// Result is the result of a run.
type Result struct {
	Length   time.Duration          `json:"length"`
	Services []*Stats               `json:"services"` // sorted by name
	Reasons  map[structs.Reason]int `json:"reasons"`  // number of answers by refusal reason
}

// Service returns the results of one service, or nil.
func (r *Result) Service(name string) *Stats {
	for _, s := range r.Services {
		if s.Service == name {
			return s
		}
	}
	return nil
}

// Percentile returns the smallest value of a sorted sample such that at least the
// fraction q (0 to 1) of the sample is not greater. It returns 0 for an empty
// sample.
func Percentile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q * float64(len(sorted)))
	if float64(i) == q*float64(len(sorted)) {
		i--
	}
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// resultCollector accumulates the results. It is owned by the duty load-record.
type resultCollector struct {
	stats   map[string]*Stats
	reasons map[structs.Reason]int
}

func newResultCollector() *resultCollector {
	return &resultCollector{stats: map[string]*Stats{}, reasons: map[structs.Reason]int{}}
}

func (rc *resultCollector) serviceStats(name string) *Stats {
	s := rc.stats[name]
	if s == nil {
		s = &Stats{Service: name}
		rc.stats[name] = s
	}
	return s
}

func (rc *resultCollector) recordSent(c *Call, skew time.Duration) {
	s := rc.serviceStats(c.Flow.Service)
	s.Sent++
	s.MaxSkew = max(s.MaxSkew, skew)
}

func (rc *resultCollector) recordAnswer(c *Call, at time.Duration, a structs.Answer, err error) {
	s := rc.serviceStats(c.Flow.Service)
	if err != nil {
		s.Errors++
		return
	}
	if a.Reason != structs.ReasonNone {
		rc.reasons[a.Reason]++
	}
	switch a.Outcome {
	case structs.OutcomeDone:
		s.recordDone(at-c.At, c.Flow.Deadline, a.Status)
	case structs.OutcomeNotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
}

func (s *Stats) recordDone(latency, deadline time.Duration, status int) {
	s.Done++
	s.latencies = append(s.latencies, latency)
	switch {
	case status >= 400:
		s.Failed++
	case latency > deadline:
		s.Late++
	default:
		s.goodCount++
	}
}

func (rc *resultCollector) result(length time.Duration) *Result {
	r := &Result{Length: length, Reasons: rc.reasons}
	for _, s := range rc.stats {
		slices.Sort(s.latencies)
		s.P50, s.P99, s.P999 = Percentile(s.latencies, 0.5), Percentile(s.latencies, 0.99), Percentile(s.latencies, 0.999)
		s.Goodput = float64(s.goodCount) / length.Seconds()
		r.Services = append(r.Services, s)
	}
	sort.Slice(r.Services, func(i, j int) bool { return r.Services[i].Service < r.Services[j].Service })
	return r
}

// String returns the results as a table.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-16s %9s %8s %8s %8s %8s %8s %8s %10s %10s %10s %10s\n", "service",
		"sent", "refused", "done", "not-run", "unknown", "errors", "late", "goodput/s", "p50", "p99", "p999")
	for _, s := range r.Services {
		fmt.Fprintf(&b, "%-16s %9d %8d %8d %8d %8d %8d %8d %10.1f %10s %10s %10s\n", s.Service, s.Sent, s.Refused,
			s.Done, s.NotRun, s.Unknown, s.Errors, s.Late, s.Goodput, formatDuration(s.P50), formatDuration(s.P99), formatDuration(s.P999))
	}
	reasons := make([]string, 0, len(r.Reasons))
	for reason, n := range r.Reasons {
		reasons = append(reasons, fmt.Sprintf("%s %d", reason, n))
	}
	sort.Strings(reasons)
	if len(reasons) > 0 {
		fmt.Fprintf(&b, "reasons: %s\n", strings.Join(reasons, ", "))
	}
	return b.String()
}

func formatDuration(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }
