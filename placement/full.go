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
