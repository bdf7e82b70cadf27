package wire

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest valid status. Callers may not parse higher ones.
const maxStatus = 599

// IsFinalStatus reports whether the status can be that of a response to a request. One
// below 200 is not the end of a response.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}

// CheckReplyHead returns an error if a response to a caller can't have the status or one of the
// field names.
func CheckReplyHead(head *ReplyHead) error {
	if status := int(head.GetStatus()); !IsFinalStatus(status) {
		return fmt.Errorf("status %03d", status)
	}
	for _, h := range head.GetHeaders() {
		if !httpguts.ValidHeaderFieldName(h.GetName()) {
			return fmt.Errorf("field name %q", h.GetName())
		}
	}
	return nil
}
