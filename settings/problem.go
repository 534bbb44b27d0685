package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Limits of error output: a file of garbage must not produce an error of
// unbounded size.
const (
	maxProblems   = 200
	maxShownValue = 60 // bytes
)

// Problem is one error in a file.
type Problem struct {
	File    string
	Line    int    // 0 if the problem belongs to no line
	Section string // empty outside of sections
	Key     string // empty if the problem concerns the whole line or section
	Value   string
	Want    string // what was expected
}

// Error gives file, line, section, key, value and what was expected.
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

// Problems holds all errors of a file, by line.
type Problems struct {
	List []Problem
	More int // problems found beyond the limit of List
}

// Error lists the problems, one on each line.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List)+1)
	for _, one := range p.List {
		lines = append(lines, one.Error())
	}
	if p.More > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", p.More))
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(one Problem) {
	if len(p.List) >= maxProblems {
		p.More++
		return
	}
	p.List = append(p.List, one)
}

// err returns p as an error with its problems sorted by line, or nil.
func (p *Problems) err() error {
	if len(p.List) == 0 {
		return nil
	}
	slices.SortStableFunc(p.List, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return p
}
