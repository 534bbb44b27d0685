package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/carobwharf/carobwharf/ring"
)

// maxQueuedLines is the maximum number of lines that wait to be written. It is
// large enough for a burst of lines under peak load; further lines are dropped and
// counted.
const maxQueuedLines = 4096

// Writer writes lines to another writer asynchronously in its own duty, so that a
// stalled reader of the log does not block the goroutines that log.
type Writer struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewWriter returns a writer to out. Run must run as a duty.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: ring.New[[]byte]("log-lines", maxQueuedLines, ring.Refuse)}
}

// Write queues one line. It never blocks and never fails. If the queue is full,
// the line is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	if err := w.lines.Put(context.Background(), append([]byte(nil), line...)); err != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until ctx ends, and then flushes the queue.
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
		return fmt.Errorf("write log lines: %w", err)
	}
	return nil
}
