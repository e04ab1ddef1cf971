package route

import (
	"fmt"
	"strings"
)

// EscapePath returns a path or a path prefix in the form in which it stands in a request:
// spaces, control characters and bytes outside ASCII are percent-encoded as in RFC 3986,
// section 2.1. All else, percent signs included, is returned as it is.
func EscapePath(path string) string {
	first := strings.IndexFunc(path, needsEscape)
	if first < 0 {
		return path
	}
	var out strings.Builder
	out.WriteString(path[:first])
	for i := first; i < len(path); i++ {
		if needsEscape(rune(path[i])) {
			fmt.Fprintf(&out, "%%%02X", path[i])
		} else {
			out.WriteByte(path[i])
		}
	}
	return out.String()
}

func needsEscape(c rune) bool { return c <= ' ' || c >= 0x7f }
