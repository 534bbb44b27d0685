package placement

import "slices"

// fullSizes remembers sizes for which a search found no room, so that it is
// not repeated. It keeps the smallest ones only: a larger one says nothing
// more. The owner calls released for every worker that gets more room.
type fullSizes []Size

// maxFull bounds the list: more sizes cost more to compare than a search does.
const maxFull = 32

// covers reports whether a search for the size is known to fail.
func (f fullSizes) covers(need Size) bool {
	for _, s := range f {
		if s.Fits(need) {
			return true
		}
	}
	return false
}

func (f *fullSizes) note(need Size) {
	*f = slices.DeleteFunc(*f, func(s Size) bool { return need.Fits(s) })
	if len(*f) < maxFull {
		*f = append(*f, need)
	}
}

func (f *fullSizes) released(room Size) {
	*f = slices.DeleteFunc(*f, func(s Size) bool { return s.Fits(room) })
}

// gain is what workers got in room since the last Place. Only they can take a
// job that found no room before.
type gain struct {
	workers    []*worker
	free, room Size // at least the free part of each, without and with its batch work
	all        bool // too many workers to follow: any job may fit
}

// maxGain bounds the workers followed; more are rare on a full fleet.
const maxGain = 64

func (g *gain) note(w *worker) {
	if len(g.workers) < maxGain {
		g.workers = append(g.workers, w)
		return
	}
	g.all = true
}

// renew takes into account what was started on the workers since.
func (g *gain) renew() {
	g.free, g.room = Size{}, Size{}
	for _, w := range g.workers {
		g.free = g.free.atLeast(w.free)
		g.room = g.room.atLeast(w.free.Plus(w.batch))
	}
}

func (g *gain) reset() {
	clear(g.workers)
	g.workers, g.all = g.workers[:0], false
}
