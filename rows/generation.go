package rows

import (
	"time"

	"github.com/carobwharf/carobwharf/publication"
)

// MaxInlineDelta is the maximum size in bytes of the encoded delta in a
// generation's row. A larger change is only available as the whole set.
const MaxInlineDelta = 16 << 10

// Generation is the row config/generation/<n>: the record of a published
// generation. It is used to find the base set of a submission that is based on
// an older generation than the head, and to move from one generation to the next
// without reading the whole set.
type Generation struct {
	Hash       string // of the set
	Submission string // id of the submission that made this generation
	Time       time.Time
	// Delta turns the set of generation n-1 into this one. It is nil if its
	// encoding is larger than MaxInlineDelta.
	Delta *publication.Delta `json:",omitempty"`
}

// InlineDelta returns d in its canonical form, or nil if its encoding is larger
// than MaxInlineDelta.
func InlineDelta(d publication.Delta) (*publication.Delta, error) {
	data, err := EncodeDelta(&d)
	if err != nil || len(data) > MaxInlineDelta {
		return nil, err
	}
	canonical, err := DecodeDelta(data)
	return &canonical, err
}

// EncodeGeneration encodes the row's value.
func EncodeGeneration(g Generation) ([]byte, error) { return encode("generation", g) }

// DecodeGeneration decodes the row's value. It ignores unknown fields in the
// delta too; applying such a delta gives a set with a wrong hash.
func DecodeGeneration(data []byte) (Generation, error) {
	return decode[Generation]("generation", data)
}
