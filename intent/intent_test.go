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
	fmt.Println(Resolve(claim, &mine) == Owned)
	fmt.Println(Resolve(claim, &theirs) == InProgress)
	// Output:
	// true
	// true
	// true
}

// Guards against a hash of the concatenated fields, for which different requests
// can be equal.
func TestHashSeparatesOperationAndBody(t *testing.T) {
	a := Hash(&structs.Request{Operation: "ab", Body: []byte("c")})
	b := Hash(&structs.Request{Operation: "a", Body: []byte("bc")})
	require.NotEqual(t, a, b)
}

// recordModel is a versioned row that several attempts write. A write may be
// delayed, or applied although its response is lost.
type recordModel struct {
	row     *Record
	version int
	delayed []func()
}

func (m *recordModel) write(kind Decision, expect int, r Record) bool {
	if (kind == Insert && m.row != nil) || (kind == TakeOver && (m.row == nil || m.version != expect)) {
		return false
	}
	m.row, m.version = &r, m.version+1
	return true
}

// Guards against a request that runs twice. Attempts of several owners claim one
// key, with writes that are lost, delayed or applied without a response, and
// some of them are abandoned: an abandoned attempt must not run either.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &recordModel{}
		runCount := 0
		ended := map[string]bool{}
		attempt := func(t *rapid.T) {
			c := Claim{Owner: fmt.Sprintf("o%d", rapid.IntRange(0, 3).Draw(t, "owner"))}
			c.Token = fmt.Sprintf("%s.%d", c.Owner, rapid.Uint32().Draw(t, "try"))
			if ended[c.Owner] {
				t.Skip("the owner makes no further claim")
			}
			decision, expect := Insert, 0
			for range 5 {
				if decision == Insert || decision == TakeOver {
					write := func(d Decision, e int) func() bool { return func() bool { return m.write(d, e, c.Record()) } }(decision, expect)
					switch rapid.IntRange(0, 3).Draw(t, "fate") {
					case 0: // applied and the response is received
						if write() {
							decision = Owned
						}
					case 1: // applied, but the response is lost
						write()
					case 2: // applied later
						m.delayed = append(m.delayed, func() { write() })
					}
				}
				if decision == Owned {
					break
				}
				expect = m.version
				decision = Resolve(c, m.row)
			}
			switch {
			case decision == Owned && rapid.Bool().Draw(t, "sent"):
				runCount++
				ended[c.Owner] = true // it may have run: the owner makes no second claim
				if rapid.Bool().Draw(t, "answered") && Finish(c.Token, m.row) == Write {
					m.row.State = Finished
					m.version++
				}
			default: // refused or never sent: abandon the claim, based on the current row
				ended[c.Owner] = true
				switch Abandon(c.Owner, m.row) {
				case Tombstone:
					m.write(Insert, 0, TombstoneFor(c))
				case MarkAbandoned:
					m.write(TakeOver, m.version, TombstoneFor(c))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"attempt": attempt,
			"delayed write": func(t *rapid.T) {
				if len(m.delayed) > 0 {
					m.delayed[0]()
					m.delayed = m.delayed[1:]
				}
			},
			"": func(t *rapid.T) { require.LessOrEqual(t, runCount, 1) },
		})
	})
}
