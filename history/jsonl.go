package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// line is one line of the file. Exactly one field is set.
type line struct {
	Request *Request       `json:"request,omitempty"`
	Answer  *Answer        `json:"answer,omitempty"`
	Effect  *Effect        `json:"effect,omitempty"`
	End     *time.Duration `json:"end,omitempty"`
}

// Writer writes a history as JSON lines. It is not safe for concurrent use.
type Writer struct {
	buf *bufio.Writer
	enc *json.Encoder
}

// NewWriter returns a buffered Writer. Close flushes it.
func NewWriter(w io.Writer) *Writer {
	buf := bufio.NewWriterSize(w, 1<<16)
	return &Writer{buf: buf, enc: json.NewEncoder(buf)}
}

// Request appends a request.
func (w *Writer) Request(r Request) error { return w.enc.Encode(line{Request: &r}) }

// Answer appends an answer.
func (w *Writer) Answer(a Answer) error { return w.enc.Encode(line{Answer: &a}) }

// Effect appends an effect.
func (w *Writer) Effect(e Effect) error { return w.enc.Encode(line{Effect: &e}) }

// Close appends the end of the history and flushes the buffer. It does not close
// the underlying writer.
func (w *Writer) Close(end time.Duration) error {
	if err := w.enc.Encode(line{End: &end}); err != nil {
		return err
	}
	return w.buf.Flush()
}

// Write writes a complete history.
func Write(out io.Writer, h *History) error {
	w := NewWriter(out)
	for _, r := range h.Requests {
		if err := w.Request(r); err != nil {
			return err
		}
	}
	for _, a := range h.Answers {
		if err := w.Answer(a); err != nil {
			return err
		}
	}
	for _, e := range h.Effects {
		if err := w.Effect(e); err != nil {
			return err
		}
	}
	return w.Close(h.End)
}

// Read reads a history. Several files, such as those of the callers and of the
// endpoints, can be read as one with io.MultiReader; the history then ends at the
// latest of their ends. A line that is not a record is an error.
func Read(in io.Reader) (*History, error) {
	h := &History{}
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	for n := 1; ; n++ {
		var l line
		err := dec.Decode(&l)
		if errors.Is(err, io.EOF) {
			return h, nil
		}
		if err != nil {
			return nil, fmt.Errorf("history record %d: %w", n, err)
		}
		if err := h.add(l); err != nil {
			return nil, fmt.Errorf("history record %d: %w", n, err)
		}
	}
}

func (h *History) add(l line) error {
	switch {
	case l.Request != nil:
		h.Requests = append(h.Requests, *l.Request)
	case l.Answer != nil:
		h.Answers = append(h.Answers, *l.Answer)
	case l.Effect != nil:
		h.Effects = append(h.Effects, *l.Effect)
	case l.End != nil:
		h.End = max(h.End, *l.End)
	default:
		return errors.New("want a request, an answer, an effect or an end, got an empty record")
	}
	return nil
}
