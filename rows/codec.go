// Package rows encodes and decodes the values of table rows and stored objects
// as JSON. Each kind of row has its type and its two functions in a file.
package rows

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// MaxRowBytes is the maximum size of a row's value. It has room for the answer
// inside an idempotency record and for the absences of a pool of 15,000 VMs.
const MaxRowBytes = 4 << 20

func encode(kind string, value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	return data, nil
}

// decode ignores unknown fields, so that a process can read rows that the next
// version of the program wrote.
func decode[T any](kind string, data []byte) (T, error) {
	var value T
	if len(data) > MaxRowBytes {
		return value, fmt.Errorf("decode %s: %d bytes, the limit is %d", kind, len(data), MaxRowBytes)
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return value, fmt.Errorf("decode %s: %w", kind, err)
	}
	return value, nil
}

// decodeStrict is like decode without a size limit, but rejects unknown fields
// and trailing data.
func decodeStrict[T any](kind string, data []byte) (T, error) {
	var value T
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&value); err != nil {
		return value, fmt.Errorf("decode %s: %w", kind, err)
	}
	if d.More() {
		return value, fmt.Errorf("decode %s: data after the value", kind)
	}
	return value, nil
}
