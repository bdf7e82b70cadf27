package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// received is a response as a client reads it.
type received struct {
	status int
	fields map[string]string
	body   []byte
	// head is the head as it came.
	head []byte
}

// readResponse reads one final response. It returns an error that names the fault if the
// bytes are no response in the protocol (RFC 9110, section 5.5, and RFC 9112).
func readResponse(reader *bufio.Reader) (got received, err error) {
	for got.status < 200 {
		got = received{fields: make(map[string]string)}
		if got.head, err = readHead(reader); err != nil {
			return got, err
		}
		if err = got.parseHead(); err != nil {
			return got, err
		}
	}
	length, err := strconv.Atoi(got.fields["content-length"])
	if err != nil {
		return got, fmt.Errorf("no valid length in %q", got.head)
	}
	got.body = make([]byte, length)
	if _, err = io.ReadFull(reader, got.body); err != nil {
		return got, fmt.Errorf("body ended early: %w", err)
	}
	return got, nil
}

func readHead(reader *bufio.Reader) (head []byte, err error) {
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		b, readErr := reader.ReadByte()
		if readErr != nil {
			return head, readErr
		}
		head = append(head, b)
	}
	return head, nil
}

func (g *received) parseHead() (err error) {
	lines := strings.Split(strings.TrimSuffix(string(g.head), "\r\n\r\n"), "\r\n")
	if len(lines[0]) < 12 || !strings.HasPrefix(lines[0], "HTTP/1.1 ") {
		return fmt.Errorf("no status line: %.60q", lines[0])
	}
	if g.status, err = strconv.Atoi(lines[0][9:12]); err != nil {
		return fmt.Errorf("no status: %.60q", lines[0])
	}
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		if !found || strings.ContainsAny(name, " \t\r\n\x00") {
			return fmt.Errorf("no field line: %q", line)
		}
		if strings.ContainsAny(value, "\r\n\x00") {
			return fmt.Errorf("CR, LF or NUL in the field value of %q", line)
		}
		g.fields[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	return nil
}

// check returns an error if the response is a success without the upstream's signature, or
// not that of the request with the ID.
func (g *received) check(id string) error {
	switch {
	case g.status/100 != 2:
		return nil
	case g.fields["x-request-id"] != id:
		return fmt.Errorf("answer to %q instead of %q", g.fields["x-request-id"], id)
	case g.fields["x-response-signature"] != signatureOf(id, g.body):
		return fmt.Errorf("body of %d bytes doesn't match the signature", len(g.body))
	}
	return nil
}

// dial connects to the proxy of a machine.
func dial(m *machine) (conn net.Conn, reader *bufio.Reader, err error) {
	if conn, err = net.DialTimeout("tcp", m.callers, time.Second); err != nil {
		return nil, nil, err
	}
	return conn, bufio.NewReader(conn), nil
}

// requestHead returns the head of a request with further field lines.
func requestHead(method, path, id string, timeout time.Duration, further ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\n", method, path, host, id, timeout.Milliseconds())
	for _, line := range further {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

// expect reads the response to the request with the ID, notes it and returns what is wrong
// with it.
func (r *rig) expect(reader *bufio.Reader, id string) (fault error) {
	got, err := readResponse(reader)
	if err == nil {
		err = got.check(id)
	}
	if err != nil {
		return fmt.Errorf("%s: status %d: %w", id, got.status, err)
	}
	r.note("answered: %s with %d, body of %d bytes", id, got.status, len(got.body))
	return nil
}
