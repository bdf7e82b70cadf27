package front

import (
	"net/http"
	"strconv"
)

// headerSizeEstimate is the capacity reserved for the status line and the headers.
const headerSizeEstimate = 512

// encodeResponse returns the HTTP/1.1 encoding of the response.
func encodeResponse(response *Response, isHead, closeAfter bool) (data []byte) {
	data = make([]byte, 0, headerSizeEstimate+len(response.Body))
	data = append(data, "HTTP/1.1 "...)
	data = strconv.AppendInt(data, int64(response.Status), 10)
	data = append(data, ' ')
	data = append(data, http.StatusText(response.Status)...)
	data = append(data, "\r\n"...)
	for _, h := range response.Headers {
		data = append(data, h.GetName()...)
		data = append(data, ": "...)
		data = append(data, h.GetValue()...)
		data = append(data, "\r\n"...)
	}
	bodiless := response.Status == http.StatusNoContent || response.Status == http.StatusNotModified
	length := int64(len(response.Body))
	if isHead {
		length = response.Length
	}
	if !bodiless && length >= 0 {
		data = append(data, "Content-Length: "...)
		data = strconv.AppendInt(data, length, 10)
		data = append(data, "\r\n"...)
	}
	if closeAfter {
		data = append(data, "Connection: close\r\n"...)
	}
	data = append(data, "\r\n"...)
	if isHead || bodiless {
		return data
	}
	return append(data, response.Body...)
}
