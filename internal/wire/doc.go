// Package wire encodes and decodes the messages between nodes and the frames that
// carry them. It enforces size limits but makes no other decisions.
package wire
