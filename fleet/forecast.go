package fleet

import (
	"math"
	"slices"
	"time"
)

// Forecast of peaks. The pools peak in turn. Once the starts of successive peaks are
// evenly spaced, the next one is expected after the same time at the pool whose last
// peak is the oldest. Otherwise the period of a pool that has peaked twice predicts the
// next peak of each other pool.
const (
	// peakStartLoad and peakEndLoad are the loads, as fractions of a pool's base
	// capacity, above which a peak starts and below which it has ended.
	peakStartLoad = 0.4
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
	// maxPeakFactor limits a forecast to this multiple of the pool's base size. A load
	// beyond it is a flood, which the load itself has to show.
	maxPeakFactor = 2
	// maxPeakStarts is the number of peaks recorded for each pool.
	maxPeakStarts = 3
	// turnTolerance is the relative amount by which the times between three successive
	// peaks may differ for the peaks to count as evenly spaced.
	turnTolerance = 0.4
)

// peakHistory records the peaks of a pool.
type peakHistory struct {
	inPeak      bool
	starts      []time.Time // starts of the last maxPeakStarts peaks
	currentMax  int         // maximum target size in the current peak
	previousMax int         // maximum target size in the last peak that has ended
}

// observe records the current load, as a fraction of the pool's base capacity,
// and the current target size. It reports whether a peak has started.
func (h *peakHistory) observe(now time.Time, load float64, targetSize int) (started bool) {
	switch {
	case !h.inPeak && load > peakStartLoad:
		h.inPeak, h.currentMax = true, 0
		started = true
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
	return started
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

// lastStart returns the start of the last peak, or the zero time if there was none.
func (h *peakHistory) lastStart() time.Time {
	if len(h.starts) == 0 {
		return time.Time{}
	}
	return h.starts[len(h.starts)-1]
}

// turn is a peak that is expected because the pools peak in turn.
type turn struct {
	pool *pool // nil: none is expected
	due  time.Time
}

// nextTurn returns the peak that is expected next. None is as long as several pools
// have not peaked yet, since any of them may be next.
func (pl *Planner) nextTurn() turn {
	var starts []time.Time
	var next *pool
	neverPeaked := 0
	for _, name := range pl.poolNames {
		p := pl.pools[name]
		if p.Standby || len(p.loadSamples) == 0 { // the latter is not configured any more
			continue
		}
		starts = append(starts, p.peaks.starts...)
		if len(p.peaks.starts) == 0 {
			neverPeaked++
		}
		if next == nil || p.peaks.lastStart().Before(next.peaks.lastStart()) {
			next = p
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	n := len(starts)
	if n < 3 || neverPeaked > 1 || next.peaks.inPeak {
		return turn{}
	}
	last, former := starts[n-1].Sub(starts[n-2]), starts[n-2].Sub(starts[n-3])
	if last < minPeakPeriod || former < minPeakPeriod || math.Abs(float64(last-former)) > turnTolerance*float64(max(last, former)) {
		return turn{}
	}
	return turn{pool: next, due: starts[n-1].Add((last + former) / 2)}
}

// peakSize returns the number of machines that the pool needed in its last peak. A pool
// that has not peaked is expected to need as many as the others on average.
func (pl *Planner) peakSize(p *pool) int {
	if p.peaks.previousMax > 0 {
		return p.peaks.previousMax
	}
	sum, n := 0, 0
	for _, other := range pl.pools {
		if size := max(other.peaks.previousMax, other.peaks.currentMax); other != p && size > 0 {
			sum, n = sum+size, n+1
		}
	}
	return sum / max(1, n)
}

// forecastSize returns the number of machines that the pool is expected to need
// for its next peak, 0 if none is due.
func (pl *Planner) forecastSize(p *pool, period time.Duration, next turn) int {
	var due time.Time
	switch {
	case p.peaks.inPeak:
		due = p.peaks.lastStart() // while the load rises, it does not show the size of the peak yet
	case next.pool == p:
		due = next.due
	case next.pool == nil && period > 0 && len(p.peaks.starts) > 0:
		due = p.peaks.lastStart().Add(period)
	default:
		return 0
	}
	if pl.now.Before(due.Add(-pl.cfg.MoveTime-forecastLead)) || pl.now.After(due.Add(forecastExpiry)) {
		return 0
	}
	return int(forecastShare * min(float64(pl.peakSize(p)), maxPeakFactor*float64(p.baseSize)))
}

// PeakRecord is what the fleet's row keeps of a pool's peaks for the next holder of
// the lease.
type PeakRecord struct {
	Ages     []time.Duration // times since the starts of the last peaks
	InPeak   bool            // the last one has not ended
	Size     int             // number of machines needed in the last peak that has ended, or so far in the present one
	BaseSize int             // size of the pool before its first peak
}

// Peaks returns the records of all pools that have had machines.
func (pl *Planner) Peaks() map[string]PeakRecord {
	records := map[string]PeakRecord{}
	for name, p := range pl.pools {
		if p.Standby || p.baseSize == 0 {
			continue
		}
		r := PeakRecord{InPeak: p.peaks.inPeak, Size: p.peaks.previousMax, BaseSize: p.baseSize}
		if p.peaks.inPeak {
			r.Size = max(r.Size, p.peaks.currentMax)
		}
		for _, start := range p.peaks.starts {
			r.Ages = append(r.Ages, pl.now.Sub(start))
		}
		records[name] = r
	}
	return records
}

// restorePeaks takes over the records of the former holder.
func (pl *Planner) restorePeaks(now time.Time, records map[string]PeakRecord) {
	for name, r := range records {
		p := pl.pool(name)
		p.baseSize = r.BaseSize
		p.peaks = peakHistory{inPeak: r.InPeak, currentMax: r.Size, previousMax: r.Size}
		for _, age := range r.Ages {
			p.peaks.starts = append(p.peaks.starts, now.Add(-age))
		}
	}
}
