package fleet

import (
	"slices"
	"time"
)

// Forecast of peaks. The pools peak in turn with a common period, so the period
// of a pool that has peaked twice predicts the next peak of each other pool.
const (
	// peakStartLoad and peakEndLoad are the loads, as fractions of a pool's base
	// capacity, above which a peak starts and below which it has ended.
	peakStartLoad = 0.6
	peakEndLoad   = 0.3
	// minPeakPeriod is the minimum time between the starts of two peaks. A rise
	// of the load within it belongs to the same peak.
	minPeakPeriod = 6 * time.Second
	// forecastLead is added to MoveTime; machines for a peak are ordered that much
	// before its forecast start.
	forecastLead = 700 * time.Millisecond
	// forecastExpiry is how long after its forecast start a peak is still expected.
	forecastExpiry = 1500 * time.Millisecond
	// forecastShare is the fraction of the previous peak's machines that the pool
	// gets before the peak starts.
	forecastShare = 0.8
	// maxPeakStarts is the number of peaks recorded for each pool.
	maxPeakStarts = 3
)

// peakHistory records the peaks of a pool.
type peakHistory struct {
	inPeak      bool
	starts      []time.Time // starts of the last maxPeakStarts peaks
	currentMax  int         // maximum target size in the current peak
	previousMax int         // maximum target size in the last peak that has ended
}

// observe records the current load, as a fraction of the pool's base capacity,
// and the current target size.
func (h *peakHistory) observe(now time.Time, load float64, targetSize int) {
	switch {
	case !h.inPeak && load > peakStartLoad:
		h.inPeak, h.currentMax = true, 0
		if n := len(h.starts); n == 0 || now.Sub(h.starts[n-1]) >= minPeakPeriod {
			h.starts = append(h.starts, now)
			h.starts = h.starts[max(0, len(h.starts)-maxPeakStarts):]
		}
	case h.inPeak && load < peakEndLoad:
		h.inPeak, h.previousMax = false, h.currentMax
	}
	if h.inPeak {
		h.currentMax = max(h.currentMax, targetSize)
	}
}

// period returns the time between the starts of the last two peaks, 0 if there
// were fewer.
func (h *peakHistory) period() time.Duration {
	n := len(h.starts)
	if n < 2 {
		return 0
	}
	return h.starts[n-1].Sub(h.starts[n-2])
}

// peakPeriod returns the median of the pools' peak periods, 0 if no pool has
// had two peaks.
func (pl *Planner) peakPeriod() time.Duration {
	var periods []time.Duration
	for _, name := range pl.poolNames {
		if p := pl.pools[name].peaks.period(); p > 0 {
			periods = append(periods, p)
		}
	}
	if len(periods) == 0 {
		return 0
	}
	slices.Sort(periods)
	return periods[len(periods)/2]
}

// forecastSize returns the number of machines that the pool is expected to need
// for its next peak, 0 if none is due.
func (pl *Planner) forecastSize(p *pool, period time.Duration) int {
	n := len(p.peaks.starts)
	if period == 0 || n == 0 || p.peaks.inPeak {
		return 0
	}
	due := p.peaks.starts[n-1].Add(period)
	if pl.now.Before(due.Add(-pl.cfg.MoveTime-forecastLead)) || pl.now.After(due.Add(forecastExpiry)) {
		return 0
	}
	return int(forecastShare * float64(p.peaks.previousMax))
}
