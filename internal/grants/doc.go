// Package grants enforces the quotas of client accounts on the traffic threads of a proxy.
// It gets tokens from the parent in the tree of readers, or from its own buckets if this
// proxy is the owner, and answers the calls with which other proxies ask for tokens. The
// decisions are those of package tokens.
package grants
