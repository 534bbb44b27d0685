package rows

import (
	"fmt"

	"github.com/carobwharf/carobwharf/publication"
)

// EncodeDelta returns the canonical encoding of a delta, for transfer between
// processes: a change of one object takes a few hundred bytes, a whole set of
// the target size hundreds of kilobytes.
func EncodeDelta(d *publication.Delta) ([]byte, error) {
	return encode("delta", publication.Delta{
		Added: canonicalSet(&d.Added), Changed: canonicalSet(&d.Changed), Removed: none(d.Removed),
	})
}

// DecodeDelta reads an encoded delta. Like a set it must be understood as a
// whole. The receiver applies it and verifies the hash of the result.
func DecodeDelta(data []byte) (publication.Delta, error) {
	if len(data) > MaxSetBytes {
		return publication.Delta{}, fmt.Errorf("decode delta: %d bytes, the limit is %d", len(data), MaxSetBytes)
	}
	return decodeStrict[publication.Delta]("delta", data)
}
