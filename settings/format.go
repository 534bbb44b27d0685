package settings

import (
	"bytes"
	"fmt"

	"gopkg.in/ini.v1"

	"github.com/carobwharf/carobwharf/structs"
)

// FormatObjects formats a set as INI text that ParseObjects parses to an equal
// set. It fails for names and values that the format cannot represent.
func FormatObjects(set *structs.ObjectSet) ([]byte, error) {
	out := ini.Empty(ini.LoadOptions{KeyValueDelimiters: "=", PreserveSurroundedQuote: true, IgnoreInlineComment: true})
	w := &objectWriter{file: out}
	for i := range set.Pools {
		writeObject(w, structs.KindPool, set.Pools[i].Name, poolFields, &set.Pools[i])
	}
	for i := range set.Services {
		writeObject(w, structs.KindService, set.Services[i].Name, serviceFields, &set.Services[i])
	}
	for i := range set.Budgets {
		writeObject(w, structs.KindBudget, set.Budgets[i].Name, budgetFields, &set.Budgets[i])
	}
	for i := range set.StopPlans {
		writeObject(w, structs.KindStopPlan, set.StopPlans[i].Name, stopPlanFields, &set.StopPlans[i])
	}
	for i := range set.Teams {
		writeObject(w, structs.KindTeam, set.Teams[i].Name, teamFields, &set.Teams[i])
	}
	if w.err != nil {
		return nil, w.err
	}
	var b bytes.Buffer
	if _, err := out.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("format object set: %w", err)
	}
	return b.Bytes(), nil
}

type objectWriter struct {
	file *ini.File
	err  error
}

func writeObject[T any](w *objectWriter, kind structs.Kind, name string, fields []field[T], object *T) {
	if w.err != nil {
		return
	}
	ref := structs.Ref{Kind: kind, Name: name}
	s, err := w.file.NewSection(ref.String())
	if err != nil {
		w.err = fmt.Errorf("format %s: %w", ref, err)
		return
	}
	for _, f := range fields {
		value := f.get(object)
		if value == "" {
			continue
		}
		if want := f.set(new(T), value); want != "" {
			w.err = fmt.Errorf("format %s: %s %q: want %s", ref, f.key, value, want)
			return
		}
		if _, err := s.NewKey(f.key, value); err != nil {
			w.err = fmt.Errorf("format %s: %w", ref, err)
			return
		}
	}
}
