package serve

import (
	"errors"
	"net/url"
	"strings"

	"arbutusstep.example/arbutusstep/internal/wire"
)

// errTarget means that a request cannot be sent with exactly the target that its caller sent.
// It says nothing about the upstream.
var errTarget = errors.New("request target cannot be sent unchanged")

// newTargetURL returns a URL that the HTTP library writes as the target, byte for byte.
// Targets need not be valid URLs.
func newTargetURL(address, target string) (u *url.URL, err error) {
	if target == "" || wire.HasDelimiter(target) {
		return nil, errTarget
	}
	u = &url.URL{Scheme: "http", Host: address, Opaque: target}
	if strings.HasPrefix(target, "//") {
		// The library puts the scheme before an opaque part that begins with two slashes.
		path, query, hasQuery := strings.Cut(target, "?")
		u.Opaque, u.RawPath, u.RawQuery, u.ForceQuery = "", path, query, hasQuery
		u.Path, err = url.PathUnescape(path)
	}
	if err != nil || u.RequestURI() != target {
		return nil, errTarget
	}
	return u, nil
}
