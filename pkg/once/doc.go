// Package once decides whether a request with an idempotency key may be forwarded
// to its upstream, so that the mesh forwards it at most once within the key's
// window. It performs no I/O.
//
// The keys of a service are spread over NumShards shards. Each shard is owned by
// one of the service's hosts, chosen by rendezvous hashing, which keeps a
// KeyTable for it.
//
// # Guarantees with the platform store
//
// Before a request is forwarded for the first time, the owner writes a claim for
// its key to the shard's object by an update that is conditional on the object's
// version. One write carries the claims of many keys. A KeyTable grants a key
// only once its own claim is confirmed to be in the object: by the result of the
// write, or by reading the object again when the result was lost. Hence, within a
// key's window:
//
//   - No two requests with the same key are granted, even if owners disagree about
//     the membership, an owner is paused for any length of time, or any result is
//     lost. This requires that the platform's conditional updates hold, that the
//     versions of an object never repeat (so a shard's object is never deleted),
//     and that a grant is used before its Until.
//   - An owner that lost its memory, or that succeeds another one, answers InDoubt
//     for a claimed key: the request may or may not have run.
//   - While the platform is unreachable, no new key is granted. A request that
//     gives up in the meantime was not run and can be reported as not run.
//   - Clocks need not be synchronized. A claim is stored with its remaining time,
//     and a reader counts that time from its own read, so elsewhere a claim may
//     last longer than it should, but never shorter.
//
// # Guarantees in memory only
//
// A KeyTable with InMemory set grants keys without the platform. A key is
// forwarded at most once as long as its owner stays up and all nodes agree on the
// owner. A new owner that did not receive the claims of the previous one answers
// InDoubt for every new key until the window has passed. While nodes disagree
// about the owner, as in a network partition, a key may be forwarded once by each
// owner.
package once
