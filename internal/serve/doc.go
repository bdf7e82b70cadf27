// Package serve handles calls to the upstream of this host. A Handler waits until
// the gate admits a call, forwards it to the upstream by HTTP over loopback,
// and sends the response back. A truncated response is always reported as such.
//
// The package manages its own connections and uses net/http only to encode
// requests and decode responses. http.Transport retries some requests by itself
// and does not tell whether any byte of a failed request was sent. The client of
// hertz supports deadlines, but can't be interrupted while it waits for a
// response. Here, canceling a call closes the connection at once, so that the
// upstream notices.
package serve
