package store

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/carobwharf/carobwharf/workload"
)

// Keys and key prefixes of the table, and name prefixes of the object store.
// Each prefix ends with a slash, so that a Scan returns the rows of one kind
// only.
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

// KeySubmission returns the key of a configuration submission's row.
func KeySubmission(id string) string { return PrefixSubmission + id }

// KeyGeneration returns the key of a configuration generation's row. The number
// is zero-padded, so that rows sort by generation.
func KeyGeneration(n uint64) string { return fmt.Sprintf("%s%020d", PrefixGeneration, n) }

// KeyIntent returns the key of the row that holds the idempotency record for a
// service and an idempotency key.
func KeyIntent(service, key string) string { return PrefixIntent + service + "/" + key }

// KeyVM returns the key of a VM's ownership row. Rows are grouped into buckets,
// so that a reader scans only the buckets that have changed; see MarkVMs.
func KeyVM(id string) string { return PrefixVM + VMBucket(id) + "/" + id }

// KeyAbsence returns the key of the row that lists a pool's absences.
func KeyAbsence(pool string) string { return PrefixPool + pool + "/absence" }

// KeyLease returns the key of a pool's lease row.
func KeyLease(pool string) string { return PrefixLease + pool }

// KeyMember returns the key of a member process's row.
func KeyMember(id string) string { return PrefixMember + id }

// KeyJob returns the key of a job's row.
func KeyJob(id string) string { return PrefixJob + id }

// KeyPlan returns the key of the row that holds a stop plan's progress.
func KeyPlan(name string) string { return PrefixPlan + name }

// Tables of a platform that implements Feed. A key has the form table/part/name.
const (
	TableWork     = "work"     // job submissions and cancellations; parts belong to queues, see KeyWork
	TableProgress = "progress" // job progress; parts are pools
	TableControl  = "control"  // leases; parts are pools and ControlFleet
	TableOrder    = "order"    // same parts as TableControl; see KeyOrder
	TableLoad     = "load"     // worker status, updated when a pool's workers change; parts are pools
	ControlFleet  = "fleet"    // part that holds the fleet lease; no pool has this name
)

// workPartsPerQueue is the number of parts of TableWork for each queue. A part
// executes one transaction after another, on the users' platform 200 per second
// and about 3 while the store is slow, and refuses those that would wait for more
// than a second. A queue of a large deployment receives 150 submissions per second
// at its peaks. The number is part of the stored format: with another one, the rows
// of earlier submissions are not found.
const workPartsPerQueue = 64

// suffixCancel is the suffix of a cancellation's key.
const suffixCancel = "/cancel"

// KeyWork returns the key of a job submission. Each queue has its own parts, so that the
// owner of a pool reads only the submissions to its queues.
func KeyWork(job workload.JobKey) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job.ID))
	return TableWork + "/" + job.Queue + "-" + strconv.Itoa(int(h.Sum32()%workPartsPerQueue)) + "/" + job.ID
}

// KeyWorkCancel returns the key of the cancellation of a job submission.
func KeyWorkCancel(job workload.JobKey) string { return KeyWork(job) + suffixCancel }

// QueueOfPart returns the key of the queue to which a part of TableWork belongs.
func QueueOfPart(part string) string {
	queue, _, _ := strings.Cut(part, "-")
	return queue
}

// WorkPart returns the part of TableWork that holds the row with this key.
func WorkPart(key string) string {
	part, _, _ := strings.Cut(strings.TrimPrefix(key, TableWork+"/"), "/")
	return part
}

// CancelledWork returns the job that the row with this key cancels. ok is false if the
// row is not a cancellation.
func CancelledWork(key string) (job workload.JobKey, ok bool) {
	key, ok = strings.CutSuffix(key, suffixCancel)
	return workload.JobKey{Queue: QueueOfPart(WorkPart(key)), ID: key[strings.LastIndexByte(key, '/')+1:]}, ok
}

// PrefixProgress returns the prefix of the progress keys of a pool's jobs.
func PrefixProgress(pool string) string { return TableProgress + "/" + pool + "/" }

// KeyProgress returns the key of a job's progress row.
func KeyProgress(pool, id string) string { return PrefixProgress(pool) + id }

// KeyControl returns the key of the lease row of a pool, or of the fleet if name
// is ControlFleet.
func KeyControl(name string) string { return TableControl + "/" + name + "/lease" }

// ControlName returns the name from a key made by KeyControl.
func ControlName(key string) string {
	return strings.TrimSuffix(strings.TrimPrefix(key, TableControl+"/"), "/lease")
}

// KeyLoad returns the key of the row in which a pool's owner publishes the status
// of the pool's workers.
func KeyLoad(pool string) string { return TableLoad + "/" + pool + "/status" }

// LoadName returns the pool's name from a key made by KeyLoad.
func LoadName(key string) string {
	return strings.TrimSuffix(strings.TrimPrefix(key, TableLoad+"/"), "/status")
}

// KeyOrder returns the key of a row that every transaction of a lease's holder
// updates, so that a transaction that takes effect late cannot overwrite a later
// one.
func KeyOrder(name string) string { return TableOrder + "/" + name + "/last" }
