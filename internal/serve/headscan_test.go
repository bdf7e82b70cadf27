package serve

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadScannerFindsFaultsInParts scans header sections that arrive in two parts, cut after
// each of their bytes, and a third one behind them.
func TestHeadScannerFindsFaultsInParts(t *testing.T) {
	tests := []struct {
		name, head string
		want       error
	}{
		{name: "valid", head: "HTTP/1.1 200 OK\r\nA: b\r\nC: \td e\r\n\r\n"},
		{name: "no fields", head: "HTTP/1.1 200 OK\r\n\r\n"},
		{name: "line feeds alone", head: "HTTP/1.1 200 OK\nA: b\n\n"},
		{name: "bytes of the body", head: "HTTP/1.1 200 OK\r\n\r\n x\ny z\n\n"},
		{name: "space at the start of a name", head: "HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n", want: errBlankInName},
		{name: "tab at the start of a name", head: "HTTP/1.1 200 OK\r\nA: b\r\n\tC: d\r\n\r\n", want: errBlankInName},
		{name: "space in a name", head: "HTTP/1.1 200 OK\r\nA b: c\r\n\r\n", want: errBlankInName},
		{name: "space at the end of a name", head: "HTTP/1.1 200 OK\nA : b\n\n", want: errBlankInName},
		{name: "one line feed alone", head: "HTTP/1.1 200 OK\r\nA: b\nC: d\r\n\r\n", want: errMixedLineEnds},
		{name: "line feed that would end the section", head: "HTTP/1.1 200 OK\r\nA: b\r\n\nC: d\r\n\r\n", want: errMixedLineEnds},
		{name: "line feed at the end", head: "HTTP/1.1 200 OK\r\nA: b\r\n\n", want: errMixedLineEnds},
		{name: "one carriage return", head: "HTTP/1.1 200 OK\nA: b\r\n\n", want: errMixedLineEnds},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for cut := range len(tt.head) + 1 {
				var scanner headScanner
				scanner.scan([]byte(tt.head[:cut]))
				scanner.scan([]byte(tt.head[cut:]))
				scanner.scan([]byte(" body: x\n\r\n"))
				assert.Assert(t, errors.Is(scanner.err, tt.want), "cut after %d bytes: %v", cut, scanner.err)
				assert.Equal(t, scanner.part == partDone, tt.want == nil)
			}
		})
	}
}
