// Package objapi is a fake of the platform's object API, for tests and the
// demo: an in-memory store of versioned objects with conditional writes and
// watches, served over HTTP by hertz. It supports fault injection. It is not
// part of the product, and its objects are lost when its process ends. The API
// is described in docs/PLATFORM.md.
package objapi
