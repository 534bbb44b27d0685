package rows

import "github.com/carobwharf/carobwharf/structs"

// Absences is the row pool/<name>/absence.
type Absences struct {
	Absent []structs.Absence // sorted by VM
}

// EncodeAbsences returns the row's value.
func EncodeAbsences(a Absences) ([]byte, error) { return encode("absences", a) }

// DecodeAbsences reads the row's value.
func DecodeAbsences(data []byte) (Absences, error) { return decode[Absences]("absences", data) }
