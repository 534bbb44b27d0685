package rows

import "time"

// Lease is the row lease/<pool>. It holds no time of expiry: another process
// takes the lease after it has seen the row unchanged for Duration on its own
// clock, and the holder counts from before its last renewal.
type Lease struct {
	Holder   string
	Token    uint64 // fencing token, grows with each holder
	Renewal  uint64 // grows with each renewal by the same holder
	Duration time.Duration
}

// EncodeLease returns the row's value.
func EncodeLease(l Lease) ([]byte, error) { return encode("lease", l) }

// DecodeLease reads the row's value.
func DecodeLease(data []byte) (Lease, error) { return decode[Lease]("lease", data) }
