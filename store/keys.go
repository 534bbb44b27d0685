package store

import "fmt"

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
