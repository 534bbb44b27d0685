package vmview

import (
	"encoding/json"
	"fmt"

	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// decodeOwner reads an ownership row. Its value is the JSON form of
// structs.Owner with the field names as keys, without the version.
func decodeOwner(r store.Row) (structs.Owner, error) {
	var o structs.Owner
	if err := json.Unmarshal(r.Value, &o); err != nil {
		return structs.Owner{}, fmt.Errorf("row %s: %w", r.Key, err)
	}
	o.Version = r.Version
	return o, nil
}
