package configcheck

import "time"

// Limits of single values. They are above what the design target of 15,000
// workers, 32 pools, 500 teams and 2,000 services needs, so a value beyond its
// limit is more likely a wrong unit or a typing error than a larger fleet.
const (
	MaxNameLen    = 63        // bytes in a name; names are parts of table keys and URLs
	MaxVMs        = 100_000   // in one pool
	MaxQueue      = 1_000_000 // waiting requests of one service
	MaxQuota      = 1_000_000 // slots or jobs of one team
	MaxWeight     = 1000      // of one team
	MaxBodyBytes  = 64 << 20  // in a request or answer of one service
	MaxRetryRatio = 0.1       // retries per request of a service; a higher ratio could prolong an overload
	MaxOps        = 256       // operations of one service
	MaxBudgets    = 16        // budgets of one pool, which are compared pairwise
	MaxObjects    = 20_000    // in one set

	MinTimeout          = time.Millisecond
	MaxTimeout          = time.Hour
	MinRetention        = time.Second
	MaxRetention        = 90 * 24 * time.Hour
	MinStopPlanInterval = time.Hour // field every of a stop plan
	MaxStopPlanInterval = 366 * 24 * time.Hour
	MaxStopPlanTimeout  = 24 * time.Hour // drain timeout and reboot timeout of a stop plan

	// RetentionFactor is the minimum ratio of a service's retention to its
	// timeout: a caller that repeats a request after a timeout must still find
	// the result that is stored for its idempotency key.
	RetentionFactor = 10

	// NameSyntax describes the names that ValidName accepts, for error messages.
	NameSyntax = "1 to 63 of a-z, 0-9, '-' and '_', starting with a letter"
)

// ValidName reports whether name is a valid name of an object or operation.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLen || name[0] < 'a' || name[0] > 'z' {
		return false
	}
	for i := range len(name) {
		c := name[i]
		ok := c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_'
		if !ok {
			return false
		}
	}
	return true
}
