// Package sizing measures the resource use of the system at several sizes, so that
// the use at larger sizes can be extrapolated from the slopes, as docs/CAPACITY.md
// does. It starts the built program as processes, runs stand-ins for the upstreams
// in its own process, and reads CPU time and memory from /proc. The product does not
// use it.
package sizing
