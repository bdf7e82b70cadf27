package wire

import (
	"net/textproto"
	"strings"
)

// HopByHopFields is the set of header fields that concern one connection only.
type HopByHopFields struct {
	// named holds the canonical names that a Connection field lists; nil when
	// it lists none.
	named []string
}

// HopByHop returns the fields that must not be passed on when a message has
// these values of Connection, as RFC 9110 section 7.6.1 asks.
func HopByHop(connection []string) (fields HopByHopFields) {
	for _, value := range connection {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				fields.named = append(fields.named, textproto.CanonicalMIMEHeaderKey(name))
			}
		}
	}
	return fields
}

// Has reports whether the field with that canonical name is to be dropped.
func (h HopByHopFields) Has(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	for _, n := range h.named {
		if n == name {
			return true
		}
	}
	return false
}
