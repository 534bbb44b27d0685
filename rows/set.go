package rows

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// MaxSetBytes bounds an encoded object set.
const MaxSetBytes = 16 << 20

// EncodeSet returns the canonical encoding of a set and its hash in hex. The
// same objects give the same bytes: fields are in the order of the types,
// lists are sorted by name, and an empty list is the same as none.
func EncodeSet(set *structs.ObjectSet) (data []byte, hash string, err error) {
	canonical := canonicalSet(set)
	data, err = encode("object set", canonical)
	if err != nil {
		return nil, "", err
	}
	if len(data) > MaxSetBytes {
		return nil, "", fmt.Errorf("encode object set: %d bytes, the limit is %d", len(data), MaxSetBytes)
	}
	return data, HashSet(data), nil
}

// HashSet returns the hash of an encoded set in hex.
func HashSet(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// DecodeSet reads an encoded set and checks that it has the wanted hash. It
// refuses unknown fields: a process must not run with a part of a
// configuration that it does not understand.
func DecodeSet(data []byte, wantHash string) (structs.ObjectSet, error) {
	if len(data) > MaxSetBytes {
		return structs.ObjectSet{}, fmt.Errorf("decode object set: %d bytes, the limit is %d", len(data), MaxSetBytes)
	}
	if got := HashSet(data); got != wantHash {
		return structs.ObjectSet{}, fmt.Errorf("decode object set: hash is %s, want %s", got, wantHash)
	}
	return decodeStrict[structs.ObjectSet]("object set", data)
}

// VerifyConfig checks that a configuration that came from a peer has the hash
// that it states.
func VerifyConfig(c *structs.Config) error {
	_, hash, err := EncodeSet(&c.Set)
	if err != nil {
		return err
	}
	if hash != c.Hash {
		return fmt.Errorf("configuration %d: hash is %s, want %s", c.Generation, hash, c.Hash)
	}
	return nil
}

// SetObject returns the name of the object that holds the set with the hash.
func SetObject(hash string) string { return store.ObjectPrefixConfig + hash }

func canonicalSet(set *structs.ObjectSet) structs.ObjectSet {
	out := structs.ObjectSet{
		Pools:     none(set.Pools),
		Services:  none(set.Services),
		Budgets:   none(set.Budgets),
		StopPlans: none(set.StopPlans),
		Teams:     none(set.Teams),
	}
	if len(out.Services) > 0 {
		out.Services = append([]structs.Service(nil), out.Services...)
	}
	for i := range out.Services {
		out.Services[i].Idempotent = none(out.Services[i].Idempotent)
		out.Services[i].Once = none(out.Services[i].Once)
	}
	return out
}

// none turns an empty list into nil, which has one encoding.
func none[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
