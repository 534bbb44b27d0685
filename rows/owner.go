package rows

import "github.com/carobwharf/carobwharf/structs"

// EncodeOwner encodes the value of the row vm/<bucket>/<id>.
func EncodeOwner(o structs.Owner) ([]byte, error) { return encode("owner", o) }

// DecodeOwner decodes the value of the row vm/<bucket>/<id>. version is the
// version of the row.
func DecodeOwner(data []byte, version uint64) (structs.Owner, error) {
	o, err := decode[structs.Owner]("owner", data)
	o.Version = version
	return o, err
}
