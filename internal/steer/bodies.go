package steer

import (
	"fmt"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/quota"
)

// readBody reads the response body to its end. Only a complete read proves that the
// response is not truncated.
func readBody(body *quota.Body, reply *peer.Reply) (err error) {
	defer func() { _ = reply.Body.Close() }()
	length := reply.Head.GetBodyLength()
	if length > maxResponseBytes {
		return fmt.Errorf("response of %d bytes exceeds the limit of %d", length, maxResponseBytes)
	}
	return body.Read(reply.Body, length, maxResponseBytes)
}
