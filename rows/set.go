package rows

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// MaxSetBytes is the maximum size of an encoded object set.
const MaxSetBytes = 16 << 20

// EncodeSet returns the canonical encoding of a set and its hash in hex. Equal
// sets have equal encodings: fields are in the order of their declaration, lists
// are sorted by name, and an empty list is encoded like a nil one.
func EncodeSet(set *structs.ObjectSet) (data []byte, hash string, err error) {
	canonical := canonicalSet(set)
	data, err = encode("object set", canonical)
	if err != nil {
		return nil, "", err
	}
	if len(data) > MaxSetBytes {
		return nil, "", fmt.Errorf("encode object set: %d bytes, the limit is %d", len(data), MaxSetBytes)
	}
	return data, HashEncodedSet(data), nil
}

// HashEncodedSet returns the hash of an encoded set in hex.
func HashEncodedSet(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// DecodeSet decodes a set and checks that its hash is wantHash. It rejects
// unknown fields: a process must not run with a configuration that it
// understands only in part.
func DecodeSet(data []byte, wantHash string) (structs.ObjectSet, error) {
	if len(data) > MaxSetBytes {
		return structs.ObjectSet{}, fmt.Errorf("decode object set: %d bytes, the limit is %d", len(data), MaxSetBytes)
	}
	if got := HashEncodedSet(data); got != wantHash {
		return structs.ObjectSet{}, fmt.Errorf("decode object set: hash is %s, want %s", got, wantHash)
	}
	return decodeStrict[structs.ObjectSet]("object set", data)
}

// VerifyConfig checks that the hash in a configuration, which may come from a
// peer, is the hash of its set.
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

// SetObjectName returns the name of the stored object that contains the set with
// this hash.
func SetObjectName(hash string) string { return store.ObjectPrefixConfig + hash }

// canonicalSet returns set with nil in place of each empty list. It doesn't
// modify set.
func canonicalSet(set *structs.ObjectSet) structs.ObjectSet {
	out := structs.ObjectSet{
		Pools:     nilIfEmpty(set.Pools),
		Services:  nilIfEmpty(set.Services),
		Budgets:   nilIfEmpty(set.Budgets),
		StopPlans: nilIfEmpty(set.StopPlans),
		Teams:     nilIfEmpty(set.Teams),
	}
	if len(out.Services) > 0 {
		out.Services = append([]structs.Service(nil), out.Services...)
	}
	for i := range out.Services {
		out.Services[i].Idempotent = nilIfEmpty(out.Services[i].Idempotent)
		out.Services[i].Once = nilIfEmpty(out.Services[i].Once)
	}
	return out
}

// nilIfEmpty returns nil for an empty list, because JSON encodes a nil slice and
// an empty one differently.
func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
