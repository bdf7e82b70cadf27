package serve

import (
	"errors"
	"io"
	"math"
	"net/http"
)

// readResponse waits for the head of the response. It skips the informational responses
// 100, 102 and 103, and late responses to earlier requests, within limits: the upstream may send
// either without end.
func (x *exchange) readResponse(request *http.Request) (response *http.Response, err error) {
	headerLimit := int64(maxResponseHeader)
	for lateResponses := 0; lateResponses <= maxLateResponses; {
		if response, err = x.readHeader(request, &headerLimit); err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		x.info = x.headers.ParseResponse(response.StatusCode, response.Header)
		var own bool
		if own, err = x.isOwn(); err != nil {
			return nil, err
		}
		if own {
			if err = x.checkNoBody(response); err != nil {
				return nil, err
			}
			return response, x.checkAuthentic(response)
		}
		x.reusable = false
		lateResponses++
		if err = discardResponse(response); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many late responses")
}

// isOwn reports whether the response belongs to the request. One without an ID is believed
// only where no earlier request can be meant: an upstream in trouble may repeat an earlier
// refusal while it runs this request.
func (x *exchange) isOwn() (own bool, err error) {
	c := x.conn
	if x.info.RequestID == x.requestID && x.requestID != "" {
		if x.info.NotRun {
			x.pool.identifiesRefusals.Store(true)
		}
		c.answered, c.identified = true, true
		return true, nil
	}
	switch {
	case x.info.RequestID != "":
		c.answered = true
		return false, nil
	case x.info.NotRun && c.answered && !x.pool.identifiesRefusals.Load():
		return false, errUnattributed
	case c.identified || x.info.NotRun && c.answered:
		return false, nil
	}
	// Another copy of a refusal could not be told from the refusal of the next request.
	x.reusable = x.reusable && !x.info.NotRun
	c.answered = true
	return true, nil
}

// readHeader reads one header section and subtracts what was read from limit.
func (x *exchange) readHeader(request *http.Request, limit *int64) (response *http.Response, err error) {
	x.conn.readLimit = *limit
	defer func() { *limit, x.conn.readLimit = x.conn.readLimit, math.MaxInt64 }()
	if err = x.conn.awaitPrefix(); err != nil {
		return nil, err
	}
	x.conn.beginScan()
	if response, err = http.ReadResponse(x.conn.reader, request); err != nil {
		return nil, classify(err)
	}
	if err = x.conn.scanner.err; err != nil {
		return nil, err
	}
	return response, checkHead(response)
}

// checkAuthentic returns an error for a success response that may not have been
// sent by the upstream.
func (x *exchange) checkAuthentic(response *http.Response) error {
	if response.StatusCode < http.StatusMultipleChoices && !x.info.Authentic {
		return errUnauthenticated
	}
	return nil
}

// discardResponse reads a late response to another request completely.
func discardResponse(response *http.Response) (err error) {
	if endsWithConnection(response) {
		return errors.New("late response without a length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBody+1))
	if err == nil && n > maxDiscardedBody {
		return errors.New("late response too long")
	}
	return err
}

// endsWithConnection reports whether the body of a response has no length and ends with the
// connection.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
