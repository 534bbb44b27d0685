package rows

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/publication"
	"github.com/carobwharf/carobwharf/structs"
)

var testTime = time.Date(2026, 12, 4, 11, 0, 0, 0, time.UTC)

// Guards against a change of the encoding: processes of other versions read the
// rows.
func TestRowBytes(t *testing.T) {
	head := Head{Generation: 7, Hash: "ab", Base: 6, Submission: "s-1", Time: testTime}
	data, err := EncodeHead(head)
	require.NoError(t, err)
	require.JSONEq(t, `{"Generation":7,"Hash":"ab","Base":6,"Submission":"s-1","Time":"2026-12-04T11:00:00Z"}`, string(data))
	got, err := DecodeHead([]byte(strings.Replace(string(data), "{", `{"Later":1,`, 1)))
	require.NoError(t, err)
	require.Equal(t, head, got)

	owner := structs.Owner{VM: "vm-1", Pool: "counter", State: structs.OwnerActive, Epoch: 3, Version: 9}
	data, err = EncodeOwner(owner)
	require.NoError(t, err)
	require.NotContains(t, string(data), "Version")
	back, err := DecodeOwner(data, 9)
	require.NoError(t, err)
	require.Equal(t, owner, back)
}

// Guards against a field that the encoding loses, and against a damaged row that
// is decoded without an error.
func TestRowsRoundTrip(t *testing.T) {
	roundTrip(t, Submission{Generation: 1, Hash: "a", Submitted: "b", Time: testTime}, EncodeSubmission, DecodeSubmission)
	roundTrip(t, Generation{Hash: "a", Submission: "s", Time: testTime}, EncodeGeneration, DecodeGeneration)
	roundTrip(t, Lease{Holder: "c-1", Token: 2, Renewal: 3, Duration: time.Second}, EncodeLease, DecodeLease)
	roundTrip(t, structs.Member{ID: "g-1", Role: structs.RoleGateway, Incarnation: 2}, EncodeMember, DecodeMember)
	roundTrip(t, Absences{Absent: []structs.Absence{{VM: "vm-1", Planned: true, Since: testTime}}}, EncodeAbsences, DecodeAbsences)
}

func roundTrip[T any](t *testing.T, value T, enc func(T) ([]byte, error), dec func([]byte) (T, error)) {
	t.Helper()
	data, err := enc(value)
	require.NoError(t, err)
	got, err := dec(data)
	require.NoError(t, err)
	require.Equal(t, value, got)
	_, err = dec([]byte("{"))
	require.Error(t, err)
}

// Guards against equal sets with different hashes, which processes compare, and
// against a process that accepts a damaged set or one with unknown fields.
func TestSetHash(t *testing.T) {
	a := structs.ObjectSet{Services: []structs.Service{{Name: "payout", Once: []string{}}}, Teams: []structs.Team{}}
	b := structs.ObjectSet{Services: []structs.Service{{Name: "payout"}}}
	dataA, hashA, err := EncodeSet(&a)
	require.NoError(t, err)
	dataB, hashB, err := EncodeSet(&b)
	require.NoError(t, err)
	require.Equal(t, dataA, dataB)
	require.Equal(t, "3e481173a0c58554", hashA[:16])
	require.Equal(t, hashA, hashB)
	set, err := DecodeSet(dataA, hashA)
	require.NoError(t, err)
	require.Equal(t, b, set)
	_, err = DecodeSet(append(dataA, ' '), hashA)
	require.ErrorContains(t, err, "hash")
	unknown := []byte(`{"Clusters":[]}`)
	_, err = DecodeSet(unknown, HashEncodedSet(unknown))
	require.ErrorContains(t, err, "Clusters")
	require.NoError(t, VerifyConfig(&structs.Config{Hash: hashA, Set: a}))
	require.Error(t, VerifyConfig(&structs.Config{Hash: "00", Set: a}))
}

// Guards against a delta that grows with the size of the set: a change of one
// object in a set of the target size must stay under 1000 bytes.
func TestDeltaBytes(t *testing.T) {
	older, newer := targetSet(), targetSet()
	newer.Services[7].Queue++
	d := publication.Diff(&older, &newer)
	data, err := EncodeDelta(&d)
	require.NoError(t, err)
	whole, hash, err := EncodeSet(&newer)
	require.NoError(t, err)
	t.Logf("delta of one service: %d bytes, whole set: %d bytes", len(data), len(whole))
	require.Less(t, len(data), 1000)
	back, err := DecodeDelta(data)
	require.NoError(t, err)
	applied, err := publication.Apply(&older, &back)
	require.NoError(t, err)
	require.NoError(t, VerifyConfig(&structs.Config{Hash: hash, Set: applied}))
}

func targetSet() structs.ObjectSet {
	var s structs.ObjectSet
	for i := range 2000 {
		s.Services = append(s.Services, structs.Service{
			Name: fmt.Sprintf("service-%05d", i), Pool: "counter", Class: structs.ClassUrgent, Share: 0.01,
			Team: "sales", Idempotent: []string{"get", "list"}, Once: []string{"pay"}, Timeout: time.Second,
			Queue: 64, MaxBody: 1 << 20, RetryRatio: 0.1, Retention: time.Hour, Legacy: structs.LegacyNone,
		})
	}
	for i := range 500 {
		s.Teams = append(s.Teams, structs.Team{Name: fmt.Sprintf("team-%05d", i), Slots: 10, Weight: 1})
	}
	return s
}

// BenchmarkTargetSize measures encoding, decoding and diffing an object set of the
// target size, and applying a delta to it.
func BenchmarkTargetSize(b *testing.B) {
	older, newer := targetSet(), targetSet()
	newer.Services[7].Queue++
	d := publication.Diff(&older, &newer)
	data, hash, err := EncodeSet(&older)
	require.NoError(b, err)
	for name, work := range map[string]func() error{
		"encode": func() error { _, _, err := EncodeSet(&older); return err },
		"decode": func() error { _, err := DecodeSet(data, hash); return err },
		"diff":   func() error { publication.Diff(&older, &newer); return nil },
		"apply":  func() error { _, err := publication.Apply(&older, &d); return err },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				require.NoError(b, work())
			}
		})
	}
}

// A negative step or index in a progress row made the owner of its pool panic, and
// each successor that read the row too.
func TestProgressWithNegativeNumbersIsInvalid(t *testing.T) {
	for _, bad := range []string{
		`{"tasks":[{"s":-1}]}`, `{"tasks":[{"i":-1}]}`, `{"tasks":[{"k":-1}]}`, `{"tasks":[{"f":-1}]}`, `{"tasks":[{"r":-1}]}`,
		`{"tasks":[{"r":9223372036854775807}]}`, `{"next":-1}`, `{"next":9223372036854775807}`, `{"later":[-1]}`,
	} {
		_, err := DecodeProgress([]byte(bad))
		require.Error(t, err, bad)
	}
	p, err := DecodeProgress([]byte(`{"state":"running","next":2,"later":[4],"tasks":[{"k":3,"s":1,"i":2,"r":1001}]}`))
	require.NoError(t, err)
	require.Equal(t, 1001, p.Tasks[0].LastAttempt)
}
