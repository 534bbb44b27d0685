package pools

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/carobwharf/carobwharf/metrics"
)

// loadMetrics shows whether the processor time of a pool's owner keeps up with
// its workers. Sums are in microseconds; a mean is a sum divided by its count.
type loadMetrics struct {
	steps      gometrics.Counter // steps of engines
	stepEvents gometrics.Counter // events that these steps processed
	stepTime   gometrics.Counter // sum of the durations of these steps
	answers    gometrics.Counter // answered calls
	answerWait gometrics.Counter // sum of the times from an answer until the duty took it
	holds      gometrics.Counter
	starts     gometrics.Counter
}

func newLoadMetrics(r *metrics.Registry) loadMetrics {
	return loadMetrics{
		steps:      r.Counter("pools.steps"),
		stepEvents: r.Counter("pools.step_events"),
		stepTime:   r.Counter("pools.step_us"),
		answers:    r.Counter("pools.answers"),
		answerWait: r.Counter("pools.answer_wait_us"),
		holds:      r.Counter("pools.holds"),
		starts:     r.Counter("pools.starts"),
	}
}

func (l *loadMetrics) recordStep(took time.Duration, events int) {
	l.steps.Inc(1)
	l.stepEvents.Inc(int64(events))
	l.stepTime.Inc(took.Microseconds())
}

func (l *loadMetrics) recordWait(wait time.Duration) {
	l.answers.Inc(1)
	l.answerWait.Inc(wait.Microseconds())
}
