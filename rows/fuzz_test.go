package rows

import (
	"testing"
)

// Whatever the value of a row is, its decoder must give an error or a value that the
// engine can use as an index.
func FuzzDecodeProgress(f *testing.F) {
	for _, seed := range []string{
		`{"state":"running","next":2,"later":[4],"tasks":[{"k":1,"s":2,"i":3,"d":true,"f":1,"e":[1001],"r":1002,"c":"ab"}]}`,
		`{"tasks":[{"s":-1}]}`, `{"tasks":[{"i":-1}]}`, `{"next":-5}`, `{"tasks":[{"r":9223372036854775807}]}`, `[]`, "\xff", ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		p, err := DecodeProgress(value)
		if err != nil {
			return
		}
		if p.NextOccurrence < 0 {
			t.Errorf("next occurrence %d", p.NextOccurrence)
		}
		for _, number := range p.LaterEnded {
			if number < 0 {
				t.Errorf("ended occurrence %d", number)
			}
		}
		for _, task := range p.Tasks {
			if task.Occurrence < 0 || task.Step < 0 || task.Index < 0 || task.Failures < 0 || task.LastAttempt < 0 || task.LastAttempt+1 < 0 {
				t.Errorf("task %+v", task)
			}
		}
	})
}
