package configcheck

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Shares are sums of decimal fractions; the tolerance covers their rounding.
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
	number(c, ref, "share", s.Share, 0, 1)
	number(c, ref, "queue", s.Queue, 1, MaxQueue)
	number(c, ref, "max_body", s.MaxBody, 1, MaxBodyBytes)
	number(c, ref, "retry_ratio", s.RetryRatio, 0, MaxRetry)
	c.duration(ref, "timeout", s.Timeout, MinTimeout, MaxTimeout)
	c.duration(ref, "retention", s.Retention, MinRetention, MaxRetention)
	if s.Retention < RetentionFactor*s.Timeout {
		c.add(ref, "retention", "%v is shorter than %d times the timeout %v", s.Retention, RetentionFactor, s.Timeout)
	}
	oneOf(c, ref, "class", s.Class, structs.ClassUrgent, structs.ClassStandard, structs.ClassBatch)
	oneOf(c, ref, "legacy", s.Legacy,
		structs.LegacyNone, structs.LegacyClose, structs.LegacyChunked, structs.LegacyStatus200)
}

func (c *checker) duration(ref structs.Ref, field string, value, low, high time.Duration) {
	if value < low || value > high {
		c.add(ref, field, "%v is outside %v to %v", value, low, high)
	}
}

func (c *checker) checkServiceRefs(ref structs.Ref, s *structs.Service) {
	if p := c.pool(ref, s.Pool); p != nil && p.Spare {
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
	kinds := make(map[string]string, len(s.Idempotent)+len(s.Once))
	c.operationList(ref, "idempotent", s.Idempotent, kinds)
	c.operationList(ref, "once", s.Once, kinds)
}

func (c *checker) operationList(ref structs.Ref, field string, operations []string, kinds map[string]string) {
	for _, op := range operations {
		other := kinds[op]
		switch {
		case !ValidName(op):
			c.add(ref, field, "invalid operation name %q, want %s", op, NameSyntax)
		case other == field:
			c.add(ref, field, "operation %s is listed twice", op)
		case other != "":
			c.add(ref, field, "operation %s is also listed as %s", op, other)
		}
		kinds[op] = field
	}
}
