package front

import (
	"net/http"
	"strconv"
)

// spareHead is room for the status line and the header section, in bytes.
const spareHead = 512

// encode returns the answer as it is sent.
func encode(answer *Response, head, last bool) (data []byte) {
	data = make([]byte, 0, spareHead+len(answer.Body))
	data = append(data, "HTTP/1.1 "...)
	data = strconv.AppendInt(data, int64(answer.Status), 10)
	data = append(data, ' ')
	data = append(data, http.StatusText(answer.Status)...)
	data = append(data, "\r\n"...)
	for _, h := range answer.Headers {
		data = append(data, h.GetName()...)
		data = append(data, ": "...)
		data = append(data, h.GetValue()...)
		data = append(data, "\r\n"...)
	}
	bodiless := answer.Status == http.StatusNoContent || answer.Status == http.StatusNotModified
	length := int64(len(answer.Body))
	if head {
		length = answer.Length
	}
	if !bodiless && length >= 0 {
		data = append(data, "Content-Length: "...)
		data = strconv.AppendInt(data, length, 10)
		data = append(data, "\r\n"...)
	}
	if last {
		data = append(data, "Connection: close\r\n"...)
	}
	data = append(data, "\r\n"...)
	if head || bodiless {
		return data
	}
	return append(data, answer.Body...)
}
