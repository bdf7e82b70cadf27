// Package entry accepts the requests of callers. A Dispatcher routes a request
// to a service, chooses an upstream, calls it through its node, and retries
// where that is safe. It does not depend on an HTTP server. A Frontend decodes
// requests and encodes responses with the HTTP server hertz.
package entry
