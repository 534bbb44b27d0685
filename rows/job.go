package rows

import "github.com/carobwharf/carobwharf/structs"

// EncodeJob returns the value of the row job/<id>.
func EncodeJob(j structs.Job) ([]byte, error) { return encode("job", j) }

// DecodeJob reads the value of the row job/<id>. version is the version of
// the row.
func DecodeJob(data []byte, version uint64) (structs.Job, error) {
	j, err := decode[structs.Job]("job", data)
	j.Submitted = j.Submitted.UTC() // equal times compare equal
	j.Version = version
	return j, err
}
