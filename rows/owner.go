package rows

import "github.com/carobwharf/carobwharf/structs"

// EncodeOwner returns the value of the row vm/<id>.
func EncodeOwner(o structs.Owner) ([]byte, error) { return encode("owner", o) }

// DecodeOwner reads the value of the row vm/<id>. version is the version of
// the row.
func DecodeOwner(data []byte, version uint64) (structs.Owner, error) {
	o, err := decode[structs.Owner]("owner", data)
	o.Version = version
	return o, err
}
