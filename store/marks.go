package store

import (
	"fmt"
	"hash/fnv"
)

// Marks tell readers which ownership rows changed, so that the cost of an idle
// poll does not grow with the fleet. Each transaction that writes ownership
// rows also rewrites the marks of their buckets and the fleet's mark, without a
// condition; the versions of these rows change and say nothing else.
const (
	KeyFleetMark     = "fleet/mark"
	PrefixBucketMark = "fleet/bucket/"
)

// vmBuckets is the number of groups of ownership rows. At 15,000 VMs a group
// has 234 rows, about 30 KB.
const vmBuckets = 64

// VMBucket returns the name of the bucket of a VM's ownership row.
func VMBucket(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return fmt.Sprintf("%02x", h.Sum32()%vmBuckets)
}

// MarkVMs returns the operations that mark changes of the VMs' ownership rows.
// Writers add them to the transaction of the change.
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
