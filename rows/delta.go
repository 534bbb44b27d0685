package rows

import (
	"fmt"

	"github.com/carobwharf/carobwharf/publication"
)

// EncodeDelta returns the canonical encoding of a delta, which processes send to
// each other instead of whole sets: a change of one object takes a few hundred
// bytes, a set of the target size hundreds of kilobytes.
func EncodeDelta(d *publication.Delta) ([]byte, error) {
	return encode("delta", publication.Delta{
		Added: canonicalSet(&d.Added), Changed: canonicalSet(&d.Changed), Removed: nilIfEmpty(d.Removed),
	})
}

// DecodeDelta decodes a delta. Like DecodeSet it rejects unknown fields. The
// delta has no hash of its own: the receiver applies it and verifies the hash of
// the resulting set.
func DecodeDelta(data []byte) (publication.Delta, error) {
	if len(data) > MaxSetBytes {
		return publication.Delta{}, fmt.Errorf("decode delta: %d bytes, the limit is %d", len(data), MaxSetBytes)
	}
	return decodeStrict[publication.Delta]("delta", data)
}
