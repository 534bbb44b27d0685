package rows

import "time"

// Submission is the row config/submission/<id>. It is written in the transaction
// that updates the head, so its presence shows that the submission took effect.
type Submission struct {
	Generation uint64 // that the submission made
	Hash       string // of the published set
	Submitted  string // hash of the submitted set; differs from Hash after a rebase
	Base       uint64 // generation that the submission was based on
	Time       time.Time
}

// EncodeSubmission encodes the row's value.
func EncodeSubmission(s Submission) ([]byte, error) { return encode("submission", s) }

// DecodeSubmission decodes the row's value.
func DecodeSubmission(data []byte) (Submission, error) {
	return decode[Submission]("submission", data)
}
