package rows

import "github.com/carobwharf/carobwharf/structs"

// Absences is the row pool/<name>/absence: the VMs of the pool that are absent.
type Absences struct {
	Absent []structs.Absence // sorted by VM
}

// EncodeAbsences encodes the row's value.
func EncodeAbsences(a Absences) ([]byte, error) { return encode("absences", a) }

// DecodeAbsences decodes the row's value.
func DecodeAbsences(data []byte) (Absences, error) { return decode[Absences]("absences", data) }
