package wire

import (
	"net/textproto"
	"strings"
)

// HopByHopFields is the set of hop-by-hop header fields of a message.
type HopByHopFields struct {
	// listed holds the canonical names listed in the Connection field; nil if
	// there are none.
	listed []string
}

// HopByHop returns the fields that must not be forwarded from a message with the
// given values of the Connection field, as RFC 9110 section 7.6.1 requires.
func HopByHop(connection []string) (fields HopByHopFields) {
	for _, value := range connection {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				fields.listed = append(fields.listed, textproto.CanonicalMIMEHeaderKey(name))
			}
		}
	}
	return fields
}

// Has reports whether the field with the canonical name must not be forwarded.
func (h HopByHopFields) Has(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	for _, n := range h.listed {
		if n == name {
			return true
		}
	}
	return false
}
