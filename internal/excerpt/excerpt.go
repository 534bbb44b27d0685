// Package excerpt shortens texts of outside origin for errors and log lines.
package excerpt

import "strings"

// maxBytes is the length of the part that Of keeps. It shows the kind of a value
// that can't be decoded, whose text may be as long as a row or a request.
const maxBytes = 200

// Of returns s, or the start of s if it is long. The result is valid UTF-8.
func Of(s string) string {
	if len(s) > maxBytes {
		s = s[:maxBytes] + "..."
	}
	return strings.ToValidUTF8(s, "?")
}
