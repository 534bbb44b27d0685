package rows

import "time"

// Lease is the row lease/<pool>. It has no expiry time, so that clocks of
// different processes are never compared: another process may take the lease
// once the row has been unchanged for Duration by its own clock, and the holder
// counts Duration from before it sent its last renewal.
type Lease struct {
	Holder   string
	Token    uint64 // fencing token; increases with each change of the holder
	Renewal  uint64 // increases with each renewal by the same holder
	Duration time.Duration
}

// EncodeLease encodes the row's value.
func EncodeLease(l Lease) ([]byte, error) { return encode("lease", l) }

// DecodeLease decodes the row's value.
func DecodeLease(data []byte) (Lease, error) { return decode[Lease]("lease", data) }
