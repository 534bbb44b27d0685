package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Limits of the error output, so that the error of a malformed file has a bounded
// size.
const (
	maxProblems   = 200
	maxShownValue = 60 // bytes of a name or value in an error
)

// Problem is one problem of a file.
type Problem struct {
	File    string
	Line    int    // 0 if the problem concerns the whole file
	Section string // empty outside sections
	Key     string // empty if the problem concerns the whole line or section
	Value   string
	Want    string // what was expected
}

// Error returns the file, line, section, key, value and what was expected.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", shorten(p.Section))
	}
	if p.Key != "" {
		b.WriteString(shorten(p.Key) + " ")
	}
	if p.Value != "" {
		fmt.Fprintf(&b, "%q", shorten(p.Value))
	}
	return strings.TrimRight(b.String(), " ") + ": want " + p.Want
}

func shorten(s string) string {
	if len(s) <= maxShownValue {
		return s
	}
	return s[:maxShownValue] + "..."
}

// Problems holds the problems of a file, sorted by line.
type Problems struct {
	List    []Problem
	Omitted int // number of problems omitted from List because of its limit
}

// Error returns the problems, one per line.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List)+1)
	for _, problem := range p.List {
		lines = append(lines, problem.Error())
	}
	if p.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", p.Omitted))
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(problem Problem) {
	if len(p.List) >= maxProblems {
		p.Omitted++
		return
	}
	p.List = append(p.List, problem)
}

// err returns p as an error with its problems sorted by line, or nil.
func (p *Problems) err() error {
	if len(p.List) == 0 {
		return nil
	}
	slices.SortStableFunc(p.List, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return p
}
