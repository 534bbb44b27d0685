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

// Limits that are checked before ini.v1 parses a file: ini.v1 searches a list for
// each new section and key, which takes quadratic time.
const (
	maxSections = configcheck.MaxObjects
	maxKeys     = 64 // in one section
)

const (
	wantLine    = "a [section], a key = value, or a comment that starts with # or ;"
	wantKeyName = "a key of a-z, 0-9 and '_'"
)

// section is one section of a file.
type section struct {
	name  string
	line  int
	keys  []string       // in file order, without duplicates
	lines map[string]int // line number of each key
	ini   *ini.Section

	// invalid is set if the section's own line is refused. Its keys are still
	// attributed to it, so that they do not count as keys of the section before
	// it, but they are ignored.
	invalid bool
}

// document is a parsed file. ini.v1 keeps no line numbers and merges repeated
// sections and keys without an error, so a first pass records the line
// number of each section and key and hands only well-formed lines to ini.v1.
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
	clean := d.indexLines(data)
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

// indexLines records the sections and keys with their lines, and reports malformed
// lines. It returns the text without these.
func (d *document) indexLines(data []byte) []byte {
	var accepted bytes.Buffer
	seen := map[string]*section{}
	var current *section
	for i, raw := range strings.Split(string(data), "\n") {
		number, line := i+1, strings.TrimSpace(raw)
		switch {
		case !isPlainText(line):
			d.addProblem(number, current, "", line, "UTF-8 text without control characters")
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			current = d.openSection(number, line, seen)
			if len(d.sections) > maxSections {
				d.addProblem(number, nil, "", line, fmt.Sprintf("at most %d sections", maxSections))
				d.sections = nil
				return nil
			}
			if !current.invalid {
				fmt.Fprintf(&accepted, "[%s]\n", current.name)
			}
		default:
			if d.indexKey(number, line, current) && !current.invalid {
				accepted.WriteString(line + "\n")
			}
		}
	}
	return accepted.Bytes()
}

func isPlainText(line string) bool {
	return utf8.ValidString(line) && !strings.ContainsFunc(line, func(r rune) bool {
		return unicode.IsControl(r) && r != '\t'
	})
}

// openSection returns the section that the line starts. A repeated section is
// reported, and its keys are checked as part of the first one.
func (d *document) openSection(number int, line string, seen map[string]*section) *section {
	if i := strings.IndexAny(line, "#;"); i > 0 {
		line = strings.TrimSpace(line[:i])
	}
	if !strings.HasSuffix(line, "]") {
		d.addProblem(number, nil, "", line, "a section that ends with ]")
		return &section{name: line, line: number, lines: map[string]int{}, invalid: true}
	}
	name := strings.Join(strings.Fields(line[1:len(line)-1]), " ")
	if name == "" || strings.ContainsAny(name, "[]") {
		d.addProblem(number, nil, "", line, "a section name between [ and ]")
		return &section{name: line, line: number, lines: map[string]int{}, invalid: true}
	}
	if first := seen[name]; first != nil {
		d.addProblem(number, first, "", "", fmt.Sprintf("each section once, the first is at line %d", first.line))
		return first
	}
	s := &section{name: name, line: number, lines: map[string]int{}}
	seen[name] = s
	d.sections = append(d.sections, s)
	return s
}

// indexKey records the key of a line and reports whether the line is valid.
func (d *document) indexKey(number int, line string, s *section) bool {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !found:
		d.addProblem(number, s, "", line, wantLine)
	case s == nil:
		d.addProblem(number, nil, key, value, "a [section] before the first key")
	case !validKey(key):
		d.addProblem(number, s, key, value, wantKeyName)
	case len(s.lines) >= maxKeys:
		d.addProblem(number, s, key, value, fmt.Sprintf("at most %d keys in a section", maxKeys))
	case s.lines[key] != 0:
		d.addProblem(number, s, key, value, fmt.Sprintf("each key once, the first is at line %d", s.lines[key]))
	case strings.ContainsAny(value[:min(1, len(value))], "\"'`"):
		d.addProblem(number, s, key, value, "a value without quotes")
	case value == "":
		s.lines[key] = number
		d.addProblem(number, s, key, value, "a value; leave the key out for its default")
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

func (d *document) addProblem(line int, s *section, key, value, want string) {
	p := Problem{File: d.file, Line: line, Key: key, Value: value, Want: want}
	if s != nil {
		p.Section = s.name
	}
	d.problems.add(p)
}
