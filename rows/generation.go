package rows

import "time"

// Generation is the row config/generation/<n>: what the head was at that
// generation. It leads from the base of a late submission to the base's set.
type Generation struct {
	Hash       string
	Submission string
	Time       time.Time
}

// EncodeGeneration returns the row's value.
func EncodeGeneration(g Generation) ([]byte, error) { return encode("generation", g) }

// DecodeGeneration reads the row's value.
func DecodeGeneration(data []byte) (Generation, error) {
	return decode[Generation]("generation", data)
}
