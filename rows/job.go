package rows

import "github.com/carobwharf/carobwharf/structs"

// EncodeJob encodes the value of the row job/<id>.
func EncodeJob(j structs.Job) ([]byte, error) { return encode("job", j) }

// DecodeJob decodes the value of the row job/<id>. version is the version of
// the row.
func DecodeJob(data []byte, version uint64) (structs.Job, error) {
	j, err := decode[structs.Job]("job", data)
	j.Submitted = j.Submitted.UTC() // so that equal times are equal with ==
	j.Version = version
	return j, err
}
