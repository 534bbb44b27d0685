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

// maxBatchBytes is the maximum size of a write of several lines. A pipe keeps
// writes up to 4,096 bytes whole (PIPE_BUF), so that a reader of several processes
// never sees a line interrupted by one of another process.
const maxBatchBytes = 4096

// Writer writes lines to another writer asynchronously in its own duty, so that a
// stalled reader of the log does not block the goroutines that log.
type Writer struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	batch   []byte // reused buffer of the lines of one write
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

// Run writes queued lines until ctx ends, and then flushes the queue. Lines that
// have queued up share one write, since a system call costs more than a line.
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

// write writes a line and those that are queued, with as many whole lines in a
// write as fit.
func (w *Writer) write(line []byte) error {
	w.batch = w.batch[:0]
	if n := w.dropped.Swap(0); n > 0 {
		w.batch = fmt.Appendf(w.batch, "{\"@level\":\"warn\",\"@message\":\"log lines were dropped\",\"count\":%d}\n", n)
	}
	for {
		if len(w.batch) > 0 && len(w.batch)+len(line) > maxBatchBytes {
			if err := w.writeBatch(); err != nil {
				return err
			}
		}
		w.batch = append(w.batch, line...)
		select {
		case line = <-w.lines.C():
		default:
			return w.writeBatch()
		}
	}
}

func (w *Writer) writeBatch() error {
	if _, err := w.out.Write(w.batch); err != nil {
		return fmt.Errorf("write log lines: %w", err)
	}
	w.batch = w.batch[:0]
	return nil
}
