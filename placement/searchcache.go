package placement

import "slices"

// failedSizes is a negative cache: it holds sizes for which a search found no
// worker, so that searches for these or larger sizes are skipped. It keeps only
// the smallest ones, which cover the larger ones. The owner calls removeFitting
// for each worker that gets more free capacity.
type failedSizes []Size

// maxFailedSizes bounds the list: comparing with more sizes costs more than a
// search.
const maxFailedSizes = 32

// covers reports whether a search for need is known to fail.
func (f failedSizes) covers(need Size) bool {
	for _, s := range f {
		if s.Fits(need) {
			return true
		}
	}
	return false
}

// add records that a search for need failed.
func (f *failedSizes) add(need Size) {
	*f = slices.DeleteFunc(*f, func(s Size) bool { return need.Fits(s) })
	if len(*f) < maxFailedSizes {
		*f = append(*f, need)
	}
}

// removeFitting removes the sizes that fit into free.
func (f *failedSizes) removeFitting(free Size) {
	*f = slices.DeleteFunc(*f, func(s Size) bool { return s.Fits(free) })
}

// freedCapacity tracks the workers whose free or preemptible capacity has grown
// since the last call of Place. Only these can take a job that fitted nowhere
// before.
type freedCapacity struct {
	workers                 []*worker
	maxFree, maxReclaimable Size // per dimension, the maximum of free and of free plus preemptible capacity
	overflow                bool // more workers than maxFreedWorkers: any job may fit
}

// maxFreedWorkers bounds the tracked workers. On a full fleet, more are rarely
// freed between two calls of Place.
const maxFreedWorkers = 64

func (f *freedCapacity) add(w *worker) {
	if len(f.workers) < maxFreedWorkers {
		f.workers = append(f.workers, w)
		return
	}
	f.overflow = true
}

// recompute updates the maxima after tasks have started on the workers.
func (f *freedCapacity) recompute() {
	f.maxFree, f.maxReclaimable = Size{}, Size{}
	for _, w := range f.workers {
		f.maxFree = f.maxFree.componentMax(w.free)
		f.maxReclaimable = f.maxReclaimable.componentMax(w.free.Plus(w.preemptible))
	}
}

func (f *freedCapacity) reset() {
	clear(f.workers)
	f.workers, f.overflow = f.workers[:0], false
}
