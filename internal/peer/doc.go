// Package peer implements the sessions between nodes. A Pool sends calls to
// other nodes and a Server handles them. A yamux session connects the caller's
// node to another node. Each of its streams either carries one call at a time,
// and is reused for later calls, or carries control messages in both directions.
//
// A call carries one HTTP request between nodes, and its reply carries the HTTP
// response of the upstream. Every call ends with a reply or with a CallError,
// which says whether the call is known not to have run.
package peer
