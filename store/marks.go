package store

import (
	"fmt"
	"hash/fnv"
)

// Marks are rows that show readers which ownership rows have changed, so that
// the cost of polling an unchanged fleet does not depend on its size. Each
// transaction that writes ownership rows also writes the mark of each affected
// bucket and the mark of the fleet, unconditionally. Marks have no value; readers
// compare only their versions.
const (
	KeyFleetMark     = "fleet/mark"
	PrefixBucketMark = "fleet/bucket/"
)

// vmBucketCount is the number of buckets of ownership rows. With 15,000 VMs, a
// bucket has 234 rows, about 30 KB.
const vmBucketCount = 64

// VMBucket returns the name of the bucket that contains a VM's ownership row.
func VMBucket(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return fmt.Sprintf("%02x", h.Sum32()%vmBucketCount)
}

// MarkVMs returns the operations that mark the ownership rows of the VMs as
// changed. Writers add them to the transaction that changes the rows.
func MarkVMs(ids ...string) []Op {
	if len(ids) == 0 {
		return nil
	}
	ops := []Op{{Kind: OpPut, Key: KeyFleetMark}}
	seen := map[string]bool{}
	for _, id := range ids {
		b := VMBucket(id)
		if !seen[b] {
			seen[b] = true
			ops = append(ops, Op{Kind: OpPut, Key: PrefixBucketMark + b})
		}
	}
	return ops
}
