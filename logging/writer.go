package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/carobwharf/carobwharf/ring"
)

// lineDepth bounds the lines that wait to be written. A burst of decisions at
// a peak fits; beyond that lines are dropped and counted.
const lineDepth = 4096

// Writer passes lines on to another writer from a duty of its own, so that a
// reader of the log that stalls never delays a decision.
type Writer struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewWriter returns a writer whose duty is Run.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: ring.New[[]byte]("log-lines", lineDepth, ring.Refuse)}
}

// Write takes one line. It never waits and never fails; a line that finds no
// room is counted.
func (w *Writer) Write(line []byte) (int, error) {
	if err := w.lines.Put(context.Background(), append([]byte(nil), line...)); err != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that wait.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines.C():
			if err := w.write(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return w.flush()
		}
	}
}

func (w *Writer) flush() error {
	for {
		select {
		case line := <-w.lines.C():
			if err := w.write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (w *Writer) write(line []byte) error {
	if n := w.dropped.Swap(0); n > 0 {
		line = append([]byte(fmt.Sprintf("{\"@level\":\"warn\",\"@message\":\"log lines were dropped\",\"count\":%d}\n", n)), line...)
	}
	if _, err := w.out.Write(line); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	return nil
}
