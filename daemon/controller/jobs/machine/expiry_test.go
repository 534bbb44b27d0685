package machine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a second run of a job whose run was given up after two task
// leases without a report, although it had ended as done at its worker. A stop
// without an answer must not lead to a second run either.
func TestExpiredRunThatEndedAsDoneIsNotRepeated(t *testing.T) {
	s := newSession(t)
	run := func(line string, want ...string) {
		t.Helper()
		require.Equal(t, want, s.run(line), line)
	}
	run("0s config")
	run("0s fleet w1:16:active w2:16:active")
	run("0s scan lease=c1:1:1")
	run("1s scan lease=c1:1:2")
	run("1s hint a:standard:4:5:queued", "write a over version 5: running on w1 token 1.1")
	run("1s written a done 6", "call start a on w1 token 1.1 progress 0s")
	run("1s called a done running")
	for at := 3; at <= 59; at += 2 { // this process keeps its lease and does not reach the worker
		var want []string
		if at >= 11 {
			want = []string{"call renew a on w1 token 1.1 progress 0s"}
		}
		run(fmt.Sprintf("%ds scan lease=c1:1:%d", at, at), want...)
		run(fmt.Sprintf("%ds called a unknown", at))
	}
	const stop = "call stop a on w1 token 1.1 progress 0s"
	run("61s scan lease=c1:1:61", stop)
	run("61s called a unknown")
	run("62s scan lease=c1:1:62", stop)
	run("62s called a done done", "write a over version 6: done")
}
