// Package entry is the front for callers. A Dispatcher finds the service of a
// request, chooses an upstream, calls it and retries where that is safe; it
// knows nothing of HTTP servers. A Frontend reads requests and writes answers by
// hertz.
package entry
