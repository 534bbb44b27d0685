// Package rows encodes the values of table rows and objects as JSON. Each
// kind of row has a file with its type and its pair of functions.
package rows

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// MaxRowBytes bounds a row's value. It leaves room for an inline answer of an
// idempotency record and for the absences of a pool of 15,000 VMs.
const MaxRowBytes = 4 << 20

func encode(kind string, value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	return data, nil
}

// decode ignores unknown fields, so that processes of the previous version
// can read rows of the next one.
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

// decodeStrict refuses unknown fields and trailing data.
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
