package rows

import "time"

// Submission is the row config/submission/<id>. It is written in the
// transaction that moves the head, so its presence settles whether a
// submission took effect.
type Submission struct {
	Generation uint64
	Hash       string // of the published set
	Submitted  string // hash of the submitted set; differs from Hash after a rebase
	Base       uint64
	Time       time.Time
}

// EncodeSubmission returns the row's value.
func EncodeSubmission(s Submission) ([]byte, error) { return encode("submission", s) }

// DecodeSubmission reads the row's value.
func DecodeSubmission(data []byte) (Submission, error) {
	return decode[Submission]("submission", data)
}
