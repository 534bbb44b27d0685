package configcheck

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// shareTolerance covers the rounding errors in the sum of the services' shares.
const shareTolerance = 1e-9

func (c *checker) checkServices() {
	shares := make(map[string]float64, len(c.set.Pools))
	for i := range c.set.Services {
		s := &c.set.Services[i]
		ref := structs.Ref{Kind: structs.KindService, Name: s.Name}
		c.checkServiceNumbers(ref, s)
		c.checkServiceRefs(ref, s)
		c.checkOperations(ref, s)
		shares[s.Pool] += s.Share
	}
	for i := range c.set.Pools {
		name := c.set.Pools[i].Name
		if sum := shares[name]; sum > 1+shareTolerance {
			c.add(structs.Ref{Kind: structs.KindPool, Name: name}, "",
				"the shares of the pool's services sum to %.4g, want at most 1", sum)
		}
	}
}

func (c *checker) checkServiceNumbers(ref structs.Ref, s *structs.Service) {
	checkRange(c, ref, "share", s.Share, 0, 1)
	checkRange(c, ref, "queue", s.Queue, 1, MaxQueue)
	checkRange(c, ref, "max_body", s.MaxBody, 1, MaxBodyBytes)
	checkRange(c, ref, "retry_ratio", s.RetryRatio, 0, MaxRetryRatio)
	c.checkDuration(ref, "timeout", s.Timeout, MinTimeout, MaxTimeout)
	c.checkDuration(ref, "retention", s.Retention, MinRetention, MaxRetention)
	if s.Retention < RetentionFactor*s.Timeout {
		c.add(ref, "retention", "%v is shorter than %d times the timeout %v", s.Retention, RetentionFactor, s.Timeout)
	}
	checkOneOf(c, ref, "class", s.Class, structs.ClassUrgent, structs.ClassStandard, structs.ClassBatch)
	checkOneOf(c, ref, "legacy", s.Legacy,
		structs.LegacyNone, structs.LegacyClose, structs.LegacyChunked, structs.LegacyStatus200)
}

func (c *checker) checkDuration(ref structs.Ref, field string, value, low, high time.Duration) {
	if value < low || value > high {
		c.add(ref, field, "%v is outside %v to %v", value, low, high)
	}
}

func (c *checker) checkServiceRefs(ref structs.Ref, s *structs.Service) {
	if p := c.lookupPool(ref, s.Pool); p != nil && p.Spare {
		c.add(ref, "pool", "%s is the spare pool, which serves no requests", s.Pool)
	}
	if s.Team != "" && c.teams[s.Team] == nil {
		c.add(ref, "team", "team %q does not exist", s.Team)
	}
}

func (c *checker) checkOperations(ref structs.Ref, s *structs.Service) {
	if n := len(s.Idempotent) + len(s.Once); n == 0 || n > MaxOps {
		c.add(ref, "", "the service declares %d operations, want 1 to %d in idempotent and once", n, MaxOps)
		return
	}
	listedIn := make(map[string]string, len(s.Idempotent)+len(s.Once))
	c.checkOperationList(ref, "idempotent", s.Idempotent, listedIn)
	c.checkOperationList(ref, "once", s.Once, listedIn)
}

// checkOperationList reports invalid names in one of a service's two lists of
// operations, and operations that are listed twice. listedIn maps the operations
// seen so far to the field that lists them.
func (c *checker) checkOperationList(ref structs.Ref, field string, operations []string, listedIn map[string]string) {
	for _, op := range operations {
		previousField := listedIn[op]
		switch {
		case !ValidName(op):
			c.add(ref, field, "invalid operation name %q, want %s", op, NameSyntax)
		case previousField == field:
			c.add(ref, field, "operation %s is listed twice", op)
		case previousField != "":
			c.add(ref, field, "operation %s is also listed as %s", op, previousField)
		}
		listedIn[op] = field
	}
}
