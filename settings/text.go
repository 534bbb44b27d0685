package settings

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"github.com/carobwharf/carobwharf/configcheck"
)

// ini.v1 looks up each new section and key in a list, which takes quadratic
// time, so their numbers are bounded before it sees the text.
const (
	maxSections = configcheck.MaxObjects
	maxKeys     = 64 // of one section
)

const (
	wantLine    = "a [section], a key = value, or a comment that starts with # or ;"
	wantKeyName = "a key of a-z, 0-9 and '_'"
)

// section is one section of a file with the lines of its keys.
type section struct {
	name  string
	line  int
	keys  []string // in file order, each once
	lines map[string]int
	ini   *ini.Section

	// broken: the section's line is refused. Its keys are read, so that they
	// do not count as keys of the section before it, and are then ignored.
	broken bool
}

// document is a parsed file. ini.v1 keeps no line numbers and merges repeated
// sections and keys without an error, so a first pass over the lines records
// where each one stands and hands only well-formed lines to ini.v1.
type document struct {
	file     string
	sections []*section
	problems Problems
}

func parseText(file string, data []byte, maxBytes int) *document {
	d := &document{file: file}
	if len(data) > maxBytes {
		d.problems.add(Problem{File: file, Want: fmt.Sprintf("at most %d bytes, the file has %d", maxBytes, len(data))})
		return d
	}
	clean := d.index(data)
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		PreserveSurroundedQuote:  true,
	}, clean)
	if err != nil {
		d.problems.add(Problem{File: file, Want: fmt.Sprintf("an INI file: %v", err)})
		return d
	}
	for _, s := range d.sections {
		s.ini = parsed.Section(s.name)
	}
	return d
}

// index records the sections and keys and returns the text without the lines
// that it refuses.
func (d *document) index(data []byte) []byte {
	var clean bytes.Buffer
	seen := map[string]*section{}
	var current *section
	for i, raw := range strings.Split(string(data), "\n") {
		number, line := i+1, strings.TrimSpace(raw)
		switch {
		case !plainText(line):
			d.refuse(number, current, "", line, "UTF-8 text without control characters")
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			current = d.openSection(number, line, seen)
			if len(d.sections) > maxSections {
				d.refuse(number, nil, "", line, fmt.Sprintf("at most %d sections", maxSections))
				d.sections = nil
				return nil
			}
			if !current.broken {
				fmt.Fprintf(&clean, "[%s]\n", current.name)
			}
		default:
			if d.indexKey(number, line, current) && !current.broken {
				clean.WriteString(line + "\n")
			}
		}
	}
	return clean.Bytes()
}

func plainText(line string) bool {
	return utf8.ValidString(line) && !strings.ContainsFunc(line, func(r rune) bool {
		return unicode.IsControl(r) && r != '\t'
	})
}

// openSection returns the section that the line opens. A repeated section is
// refused, and its keys are checked as part of the first one.
func (d *document) openSection(number int, line string, seen map[string]*section) *section {
	if i := strings.IndexAny(line, "#;"); i > 0 {
		line = strings.TrimSpace(line[:i])
	}
	if !strings.HasSuffix(line, "]") {
		d.refuse(number, nil, "", line, "a section that ends with ]")
		return &section{name: line, line: number, lines: map[string]int{}, broken: true}
	}
	name := strings.Join(strings.Fields(line[1:len(line)-1]), " ")
	if name == "" || strings.ContainsAny(name, "[]") {
		d.refuse(number, nil, "", line, "a section name between [ and ]")
		return &section{name: line, line: number, lines: map[string]int{}, broken: true}
	}
	if first := seen[name]; first != nil {
		d.refuse(number, first, "", "", fmt.Sprintf("each section once, the first is at line %d", first.line))
		return first
	}
	s := &section{name: name, line: number, lines: map[string]int{}}
	seen[name] = s
	d.sections = append(d.sections, s)
	return s
}

func (d *document) indexKey(number int, line string, s *section) bool {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !found:
		d.refuse(number, s, "", line, wantLine)
	case s == nil:
		d.refuse(number, nil, key, value, "a [section] before the first key")
	case !validKey(key):
		d.refuse(number, s, key, value, wantKeyName)
	case len(s.lines) >= maxKeys:
		d.refuse(number, s, key, value, fmt.Sprintf("at most %d keys in a section", maxKeys))
	case s.lines[key] != 0:
		d.refuse(number, s, key, value, fmt.Sprintf("each key once, the first is at line %d", s.lines[key]))
	case strings.ContainsAny(value[:min(1, len(value))], "\"'`"):
		d.refuse(number, s, key, value, "a value without quotes")
	case value == "":
		s.lines[key] = number
		d.refuse(number, s, key, value, "a value; leave the key out for its default")
	default:
		s.lines[key] = number
		s.keys = append(s.keys, key)
		return true
	}
	return false
}

func validKey(key string) bool {
	return key != "" && strings.Trim(key, "abcdefghijklmnopqrstuvwxyz0123456789_") == ""
}

func (d *document) refuse(line int, s *section, key, value, want string) {
	p := Problem{File: d.file, Line: line, Key: key, Value: value, Want: want}
	if s != nil {
		p.Section = s.name
	}
	d.problems.add(p)
}
