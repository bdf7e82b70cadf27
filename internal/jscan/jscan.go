// Package jscan splits a JSON text into its members and elements without decoding
// them, so that one that cannot be decoded does not prevent the decoding of the
// others. It does not recurse and accepts values of any nesting depth. Values are
// slices of the text and are checked only as far as needed to find their end.
package jscan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

var (
	// ErrSyntax means that the text is not the expected kind of JSON value.
	ErrSyntax = errors.New("invalid JSON")
	// ErrDepth means that a value is nested too deeply.
	ErrDepth = errors.New("JSON nested too deeply")
)

// Object calls member for each member of a JSON object, in order. It stops at the
// first error that member returns. A null has no members.
func Object(data []byte, member func(name string, value []byte) error) (err error) {
	s := scanner{data: data}
	return s.list('{', '}', func() (err error) {
		var name string
		key, err := s.value()
		if err != nil {
			return err
		}
		if err = json.Unmarshal(key, &name); err != nil {
			return fmt.Errorf("%w: member name at byte %d: %w", ErrSyntax, s.offset, err)
		}
		if !s.accept(':') {
			return s.syntaxError("':'")
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		return member(name, value)
	})
}

// Array calls element for each element of a JSON array, in order. It stops at the
// first error that element returns. A null has no elements.
func Array(data []byte, element func(value []byte) error) (err error) {
	s := scanner{data: data}
	return s.list('[', ']', func() (err error) {
		value, err := s.value()
		if err != nil {
			return err
		}
		return element(value)
	})
}

// CheckDepth returns ErrDepth if objects and arrays are nested more than limit levels
// deep.
func CheckDepth(data []byte, limit int) (err error) {
	s := scanner{data: data}
	depth := 0
	for s.offset < len(data) {
		switch data[s.offset] {
		case '"':
			if err = s.skipString(); err != nil {
				return err
			}
			continue
		case '{', '[':
			if depth++; depth > limit {
				return fmt.Errorf("%w: more than %d levels at byte %d", ErrDepth, limit, s.offset)
			}
		case '}', ']':
			depth--
		}
		s.offset++
	}
	return nil
}

// scanner reads a JSON text from left to right.
type scanner struct {
	data []byte
	// offset is the index of the next byte to read.
	offset int
}

// list reads an object or array, and calls item at the start of each member or
// element.
func (s *scanner) list(first, last byte, item func() error) (err error) {
	s.skipSpace()
	if bytes.HasPrefix(s.data[s.offset:], []byte("null")) {
		s.offset += len("null")
		return s.end()
	}
	if !s.accept(first) {
		return s.syntaxError(fmt.Sprintf("%q", first))
	}
	if s.accept(last) {
		return s.end()
	}
	for {
		if err = item(); err != nil {
			return err
		}
		if s.accept(last) {
			return s.end()
		}
		if !s.accept(',') {
			return s.syntaxError(fmt.Sprintf("',' or %q", last))
		}
	}
}

// end checks that only white space is left.
func (s *scanner) end() (err error) {
	if s.skipSpace(); s.offset < len(s.data) {
		return s.syntaxError("the end")
	}
	return nil
}

// value reads one value of any kind.
func (s *scanner) value() (value []byte, err error) {
	s.skipSpace()
	start, depth := s.offset, 0
	for s.offset < len(s.data) {
		switch c := s.data[s.offset]; {
		case c == '"':
			if err = s.skipString(); err != nil {
				return nil, err
			}
		case c == '{' || c == '[':
			depth++
			s.offset++
		case (c == '}' || c == ']') && depth > 0:
			depth--
			s.offset++
		case depth > 0:
			s.offset++
			continue
		default:
			s.skipScalar()
		}
		if depth == 0 {
			break
		}
	}
	if depth > 0 || s.offset == start {
		return nil, s.syntaxError("a value")
	}
	return s.data[start:s.offset], nil
}

// skipScalar skips a number, true, false or null.
func (s *scanner) skipScalar() {
	for s.offset < len(s.data) && bytes.IndexByte([]byte(",:]} \t\r\n\"{["), s.data[s.offset]) < 0 {
		s.offset++
	}
}

// skipString skips a string, whose opening quote is the next byte.
func (s *scanner) skipString() (err error) {
	for i := s.offset + 1; i < len(s.data); i++ {
		switch s.data[i] {
		case '\\':
			i++
		case '"':
			s.offset = i + 1
			return nil
		}
	}
	return s.syntaxError("the end of the string")
}

func (s *scanner) skipSpace() {
	for s.offset < len(s.data) && bytes.IndexByte([]byte(" \t\r\n"), s.data[s.offset]) >= 0 {
		s.offset++
	}
}

// accept skips white space and then the byte if it is next.
func (s *scanner) accept(c byte) bool {
	s.skipSpace()
	if s.offset == len(s.data) || s.data[s.offset] != c {
		return false
	}
	s.offset++
	return true
}

func (s *scanner) syntaxError(want string) error {
	return fmt.Errorf("%w: want %s at byte %d", ErrSyntax, want, s.offset)
}
