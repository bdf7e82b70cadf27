package serve

import "fmt"

var (
	// errBlankInName means that a line of a header section has a blank before the colon. The
	// field, or the continued line that it may be instead, can't be passed on as it is meant.
	errBlankInName = fmt.Errorf("%w: blank in the name of a header field", errInvalid)
	// errMixedLineEnds means that only some lines of a header section end with a line feed
	// alone, so that it isn't known which line feed ends the section.
	errMixedLineEnds = fmt.Errorf("%w: line feed in the header section", errInvalid)
)

// headPart is a part of a header section.
type headPart int

const (
	partStatusLine headPart = iota
	partName
	partValue
	// partDone is what follows the section.
	partDone
)

// headScanner finds the faults in the header section of a response that the HTTP library lets
// pass. The zero value expects the first byte of the status line.
type headScanner struct {
	// part is where the next byte belongs.
	part headPart
	// last is the byte before the next one, and length the number of bytes that the line has
	// so far.
	last   byte
	length int
	// bareLineFeeds is true if the status line ended with a line feed alone.
	bareLineFeeds bool
	// err is nil until a fault is found. Nothing is scanned after that.
	err error
}

// scan scans the next bytes. Those after the header section are ignored.
func (s *headScanner) scan(data []byte) {
	for _, b := range data {
		if s.part == partDone || s.err != nil {
			return
		}
		s.next(b)
		s.last = b
	}
}

func (s *headScanner) next(b byte) {
	switch {
	case b == '\n':
		s.endLine()
		return
	case s.part == partName && (b == ' ' || b == '\t'):
		s.err = errBlankInName
	case s.part == partName && b == ':':
		s.part = partValue
	}
	s.length++
}

// endLine ends a line. An empty one ends the section.
func (s *headScanner) endLine() {
	bare := s.last != '\r'
	switch {
	case s.part == partStatusLine:
		s.bareLineFeeds = bare
	case bare != s.bareLineFeeds:
		s.err = errMixedLineEnds
	case bare && s.length == 0, !bare && s.length == 1:
		s.part = partDone
		return
	}
	s.part, s.length = partName, 0
}
