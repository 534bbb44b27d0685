package store

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// Keys of the table. Each prefix ends with a slash, so that Scan finds the
// rows of one kind.
const (
	KeyConfigHead      = "config/head"
	PrefixSubmission   = "config/submission/"
	PrefixGeneration   = "config/generation/"
	PrefixIntent       = "intent/"
	PrefixVM           = "vm/"
	PrefixPool         = "pool/"
	PrefixLease        = "lease/"
	PrefixMember       = "member/"
	PrefixJob          = "job/"
	PrefixPlan         = "plan/"
	ObjectPrefixConfig = "config/"
	ObjectPrefixAnswer = "answer/"
)

// KeySubmission returns the key of a submission's row.
func KeySubmission(id string) string { return PrefixSubmission + id }

// KeyGeneration returns the key of a generation's row. The number is padded,
// so that rows sort by generation.
func KeyGeneration(n uint64) string { return fmt.Sprintf("%s%020d", PrefixGeneration, n) }

// KeyIntent returns the key of the idempotency record of a service and an
// idempotency key.
func KeyIntent(service, key string) string { return PrefixIntent + service + "/" + key }

// KeyVM returns the key of a VM's ownership row. Rows are grouped by bucket, so
// that a reader scans only the buckets that changed; see MarkVMs.
func KeyVM(id string) string { return PrefixVM + VMBucket(id) + "/" + id }

// KeyAbsence returns the key of a pool's absence row.
func KeyAbsence(pool string) string { return PrefixPool + pool + "/absence" }

// KeyLease returns the key of a pool's lease.
func KeyLease(pool string) string { return PrefixLease + pool }

// KeyMember returns the key of a process's row.
func KeyMember(id string) string { return PrefixMember + id }

// KeyJob returns the key of a job's row.
func KeyJob(id string) string { return PrefixJob + id }

// KeyPlan returns the key of a stop plan's progress.
func KeyPlan(name string) string { return PrefixPlan + name }

// Tables of a platform with a Feed. A key is table/part/name.
const (
	TableWork     = "work"     // submissions and cancellations
	TableProgress = "progress" // parts are pools
	TableControl  = "control"  // parts are pools, and ControlFleet
	TableOrder    = "order"    // parts likewise; orders the holder's transactions
	TableLoad     = "load"     // parts are pools; changes with the pool's workers
	ControlFleet  = "fleet"    // part of the fleet's lease; no pool has this name
)

// workParts is the number of parts of TableWork for each queue. A part takes a
// bounded number of transactions per second (200 on the users' platform), and a
// queue of a large deployment gets some 400 submissions in its peaks.
const workParts = 4

// suffixCancel ends the key of a cancellation.
const suffixCancel = "/cancel"

// WorkQueue returns the name of a queue in the parts of TableWork. Queues are
// kept apart, so that the owner of a pool reads only what concerns it. Host and
// prefix identify the queue, because its name may pass to another one while a
// caller repeats a submission.
func WorkQueue(host, prefix string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host + "\x00" + prefix))
	return strconv.FormatUint(h.Sum64(), 36)
}

// KeyWork returns the key of a submission. queue is a WorkQueue.
func KeyWork(queue, id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return TableWork + "/" + queue + "-" + strconv.Itoa(int(h.Sum32()%workParts)) + "/" + id
}

// KeyWorkCancel returns the key of the cancellation of a submission.
func KeyWorkCancel(queue, id string) string { return KeyWork(queue, id) + suffixCancel }

// QueueOfPart returns the WorkQueue that a part of TableWork belongs to.
func QueueOfPart(part string) string {
	queue, _, _ := strings.Cut(part, "-")
	return queue
}

// CancelledWork returns the id of the submission that the row with the key
// cancels; ok is false if the row is no cancellation.
func CancelledWork(key string) (id string, ok bool) {
	key, ok = strings.CutSuffix(key, suffixCancel)
	return key[strings.LastIndexByte(key, '/')+1:], ok
}

// PrefixProgress starts the keys of the progress of a pool's jobs.
func PrefixProgress(pool string) string { return TableProgress + "/" + pool + "/" }

// KeyProgress returns the key of a job's progress.
func KeyProgress(pool, id string) string { return PrefixProgress(pool) + id }

// KeyControl returns the key of the lease of a pool or of the fleet.
func KeyControl(name string) string { return TableControl + "/" + name + "/lease" }

// ControlName is the reverse of KeyControl.
func ControlName(key string) string {
	return strings.TrimSuffix(strings.TrimPrefix(key, TableControl+"/"), "/lease")
}

// KeyLoad returns the key of what a pool's owner tells about its workers.
func KeyLoad(pool string) string { return TableLoad + "/" + pool + "/status" }

// LoadName is the reverse of KeyLoad.
func LoadName(key string) string {
	return strings.TrimSuffix(strings.TrimPrefix(key, TableLoad+"/"), "/status")
}

// KeyOrder returns the key of the row that each transaction of the holder of a
// lease changes, so that one that takes effect late can't overwrite a later.
func KeyOrder(name string) string { return TableOrder + "/" + name + "/last" }
