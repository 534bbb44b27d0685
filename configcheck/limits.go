package configcheck

import "time"

// Limits of single values. A value beyond its limit is a mistake of unit or a
// typing error rather than a larger fleet: the target is 15,000 workers, 32
// pools, 500 teams and 2,000 services.
const (
	MaxNameLen   = 63      // bytes; names are parts of table keys and URLs
	MaxVMs       = 100_000 // in one pool
	MaxQueue     = 1_000_000
	MaxQuota     = 1_000_000 // slots or jobs of one team
	MaxWeight    = 1000
	MaxBodyBytes = 64 << 20
	MaxRetry     = 0.1 // of a service's load, so that retries cannot feed an overload
	MaxOps       = 256 // operations of one service
	MaxBudgets   = 16  // of one pool; they are compared in pairs
	MaxObjects   = 20_000

	MinTimeout   = time.Millisecond
	MaxTimeout   = time.Hour
	MinRetention = time.Second
	MaxRetention = 90 * 24 * time.Hour
	MinEvery     = time.Hour
	MaxEvery     = 366 * 24 * time.Hour
	MaxDrain     = 24 * time.Hour // drain and reboot timeouts of a stop plan

	// RetentionFactor is the least retention of a key's result in timeouts: a
	// caller that retries after its timeout must still find the result.
	RetentionFactor = 10

	// NameSyntax describes a valid name in error messages.
	NameSyntax = "1 to 63 of a-z, 0-9, '-' and '_', starting with a letter"
)

// ValidName reports whether name may be the name of an object or operation.
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
