package rows

import "time"

// Head is the row config/head: the current generation of the configuration.
type Head struct {
	Generation uint64
	Hash       string // of the set, and the name of its object
	Base       uint64 // generation that the submission was based on
	Submission string // id of the submission that made this generation
	Time       time.Time
}

// EncodeHead encodes the row's value.
func EncodeHead(h Head) ([]byte, error) { return encode("head", h) }

// DecodeHead decodes the row's value.
func DecodeHead(data []byte) (Head, error) { return decode[Head]("head", data) }
