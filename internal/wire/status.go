package wire

import "net/http"

// maxStatus is the highest valid status. Callers may not parse higher ones.
const maxStatus = 599

// IsFinalStatus reports whether the status can be that of a response to a request. One
// below 200 is not the end of a response.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}
