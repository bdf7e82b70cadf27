package wire

import "strings"

// HasDelimiter reports whether a request target contains a space, which would end it in the
// request line, or a control character.
func HasDelimiter(target string) bool {
	return strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f })
}
