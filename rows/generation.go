package rows

import (
	"time"

	"github.com/carobwharf/carobwharf/publication"
)

// MaxInlineDelta bounds the encoded delta in a generation's row in bytes. A
// larger change is only available as the whole set.
const MaxInlineDelta = 16 << 10

// Generation is the row config/generation/<n>: what the head was at that
// generation. It leads from the base of a late submission to the base's set,
// and from one generation to the next without the whole set.
type Generation struct {
	Hash       string
	Submission string
	Time       time.Time
	// Delta leads from the set of generation n-1 to this one. It is nil if it
	// would be larger than MaxInlineDelta.
	Delta *publication.Delta `json:",omitempty"`
}

// InlineDelta returns d in its canonical form, or nil if it is too large for
// a generation's row.
func InlineDelta(d publication.Delta) (*publication.Delta, error) {
	data, err := EncodeDelta(&d)
	if err != nil || len(data) > MaxInlineDelta {
		return nil, err
	}
	canonical, err := DecodeDelta(data)
	return &canonical, err
}

// EncodeGeneration returns the row's value.
func EncodeGeneration(g Generation) ([]byte, error) { return encode("generation", g) }

// DecodeGeneration reads the row's value. Unknown fields inside of a delta are
// dropped here; the hash of the set that the delta leads to reveals it.
func DecodeGeneration(data []byte) (Generation, error) {
	return decode[Generation]("generation", data)
}
