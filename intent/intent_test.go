package intent

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobwharf/carobwharf/structs"
)

func ExampleResolve() {
	claim := Claim{Token: "a.1", Owner: "a", BodyHash: "h"}
	other := Claim{Token: "b.1", Owner: "b", BodyHash: "h"}
	mine, theirs := claim.Record(), other.Record()
	fmt.Println(Resolve(claim, nil) == Insert)
	fmt.Println(Resolve(claim, &mine) == Own)
	fmt.Println(Resolve(claim, &theirs) == InProgress)
	// Output:
	// true
	// true
	// true
}

func TestHashSeparatesOperationAndBody(t *testing.T) {
	a := Hash(&structs.Request{Operation: "ab", Body: []byte("c")})
	b := Hash(&structs.Request{Operation: "a", Body: []byte("bc")})
	require.NotEqual(t, a, b)
}

// model is a row under versions, changed by several attempts whose writes may
// be applied late, or applied without an answer.
type model struct {
	row     *Record
	version int
	late    []func()
}

func (m *model) write(kind Decision, expect int, r Record) bool {
	if (kind == Insert && m.row != nil) || (kind == TakeOver && (m.row == nil || m.version != expect)) {
		return false
	}
	m.row, m.version = &r, m.version+1
	return true
}

// Attempts of several owners claim one key, with writes that are lost, late
// or unanswered, with paused attempts, tombstones and broken endpoints. The
// request must run at most once, and a surrendered attempt must not run.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		runs := 0
		gaveUp := map[string]bool{}
		attempt := func(t *rapid.T) {
			c := Claim{Owner: fmt.Sprintf("o%d", rapid.IntRange(0, 3).Draw(t, "owner"))}
			c.Token = fmt.Sprintf("%s.%d", c.Owner, rapid.Uint32().Draw(t, "try"))
			if gaveUp[c.Owner] {
				t.Skip("owner has ended")
			}
			decision, expect := Insert, 0
			for range 5 {
				if decision == Insert || decision == TakeOver {
					write := func(d Decision, e int) func() bool { return func() bool { return m.write(d, e, c.Record()) } }(decision, expect)
					switch rapid.IntRange(0, 3).Draw(t, "fate") {
					case 0: // applied and answered
						if write() {
							decision = Own
						}
					case 1: // applied, the answer is lost
						write()
					case 2: // applied later
						m.late = append(m.late, func() { write() })
					}
				}
				if decision == Own {
					break
				}
				expect = m.version
				decision = Resolve(c, m.row)
			}
			switch {
			case decision == Own && rapid.Bool().Draw(t, "sent"):
				runs++
				gaveUp[c.Owner] = true // it may have run: the owner makes no second claim
				if rapid.Bool().Draw(t, "answered") && Finish(c.Token, m.row) == Write {
					m.row.State = Finished
					m.version++
				}
			default: // refused, or never sent: give up, with the row in view
				gaveUp[c.Owner] = true
				switch Surrender(c.Owner, m.row) {
				case Tombstone:
					m.write(Insert, 0, TombstoneFor(c))
				case MarkOwn:
					m.write(TakeOver, m.version, TombstoneFor(c))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"attempt": attempt,
			"late write": func(t *rapid.T) {
				if len(m.late) > 0 {
					m.late[0]()
					m.late = m.late[1:]
				}
			},
			"": func(t *rapid.T) { require.LessOrEqual(t, runs, 1) },
		})
	})
}
