package rows

import "github.com/carobwharf/carobwharf/structs"

// EncodeMember encodes the value of the row member/<id>.
func EncodeMember(m structs.Member) ([]byte, error) { return encode("member", m) }

// DecodeMember decodes the value of the row member/<id>.
func DecodeMember(data []byte) (structs.Member, error) {
	return decode[structs.Member]("member", data)
}
