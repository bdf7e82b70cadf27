package sheet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// Bounds of encoded objects; each is above what the bounds of the tree allow
// and below the megabyte that the platform holds.
const (
	// MaxHeadBytes bounds an encoded head.
	MaxHeadBytes = 768 << 10
	// MaxChangeBytes bounds an encoded change.
	MaxChangeBytes = 768 << 10
	// MaxChunkBytes bounds an encoded chunk.
	MaxChunkBytes = 960 << 10
)

// editBody is an edit within a change.
type editBody struct {
	Path  tree.Path `json:"path"`
	Key   tree.Key  `json:"key"`
	Value string    `json:"value,omitempty"`
	Unset bool      `json:"unset,omitempty"`
}

// changeBody is a change, and in a head an accepted one.
type changeBody struct {
	ID     mesh.ChangeID `json:"id"`
	Author string        `json:"author,omitempty"`
	At     time.Time     `json:"at"`
	Note   string        `json:"note,omitempty"`
	Base   mesh.Version  `json:"base"`
	Edits  []editBody    `json:"edits"`
	// Version and Inverse are set only for an accepted change.
	Version mesh.Version `json:"version,omitempty"`
	Inverse []editBody   `json:"inverse,omitempty"`
}

func makeChangeBody(change tree.Change) changeBody {
	return changeBody{
		ID: change.ID, Author: change.Author, At: change.At, Note: change.Note, Base: change.Base,
		Edits: makeEditBodies(change.Edits),
	}
}

func (c *changeBody) change() tree.Change {
	return tree.Change{ID: c.ID, Author: c.Author, At: c.At, Note: c.Note, Base: c.Base, Edits: makeEdits(c.Edits)}
}

func makeEditBodies(edits []tree.Edit) []editBody {
	bodies := make([]editBody, 0, len(edits))
	for _, e := range edits {
		bodies = append(bodies, editBody(e))
	}
	return bodies
}

func makeEdits(bodies []editBody) (edits []tree.Edit) {
	for _, b := range bodies {
		edits = append(edits, tree.Edit(b))
	}
	return edits
}

// EncodeHead returns the head as JSON.
func EncodeHead(head tree.Head) (data []byte, err error) {
	defer func() { err = merry.Prepend(err, "encode head") }()
	recent := make([]changeBody, 0, len(head.Recent))
	for _, a := range head.Recent {
		body := makeChangeBody(a.Change)
		body.Version, body.Inverse = a.Version, makeEditBodies(a.Inverse)
		recent = append(recent, body)
	}
	return encode(struct {
		Version mesh.Version              `json:"version"`
		Root    mesh.Digest               `json:"root"`
		Chunks  map[tree.Path]mesh.Digest `json:"chunks"`
		Recent  []changeBody              `json:"recent"`
	}{Version: head.Version, Root: head.RootDigest(), Chunks: head.Chunks, Recent: recent}, MaxHeadBytes)
}

// DecodeHead reads a head and checks its root digest and its bounds.
func DecodeHead(data []byte) (head tree.Head, err error) {
	defer func() { err = merry.Prepend(err, "decode head") }()
	var body struct {
		Version mesh.Version              `json:"version"`
		Root    mesh.Digest               `json:"root"`
		Chunks  map[tree.Path]mesh.Digest `json:"chunks"`
		Recent  []changeBody              `json:"recent"`
	}
	if err = decode(data, MaxHeadBytes, &body); err != nil {
		return head, err
	}
	decoded := tree.Head{Manifest: tree.Manifest{Version: body.Version, Chunks: body.Chunks}}
	for _, b := range body.Recent {
		decoded.Recent = append(decoded.Recent, tree.AcceptedChange{
			Change: b.change(), Version: b.Version, Inverse: makeEdits(b.Inverse),
		})
	}
	if root := decoded.RootDigest(); root != body.Root {
		return head, fmt.Errorf("root digest is %s, want %s", root, body.Root)
	}
	if err = decoded.Check(); err != nil {
		return head, err
	}
	return decoded, nil
}

// EncodeChange returns the change as JSON.
func EncodeChange(change tree.Change) (data []byte, err error) {
	defer func() { err = merry.Prepend(err, "encode change") }()
	return encode(makeChangeBody(change), MaxChangeBytes)
}

// DecodeChange reads a change; whether it may be accepted is for a head to say.
func DecodeChange(data []byte) (change tree.Change, err error) {
	defer func() { err = merry.Prepend(err, "decode change") }()
	var body changeBody
	if err = decode(data, MaxChangeBytes, &body); err != nil {
		return change, err
	}
	return body.change(), nil
}

// EncodeChunk returns the chunk as JSON. The settings of the scope itself
// stand under an empty name, those of its services under their names.
func EncodeChunk(chunk *tree.Chunk) (data []byte, err error) {
	defer func() { err = merry.Prepend(err, "encode chunk") }()
	values := make(map[mesh.Service]map[tree.Key]string)
	for _, e := range chunk.Values() {
		service := e.Path.Service()
		if values[service] == nil {
			values[service] = make(map[tree.Key]string)
		}
		values[service][e.Key] = e.Value
	}
	return encode(struct {
		Scope  tree.Path                            `json:"scope"`
		Values map[mesh.Service]map[tree.Key]string `json:"values"`
	}{Scope: chunk.Scope(), Values: values}, MaxChunkBytes)
}

// DecodeChunk reads a chunk; the caller compares its digest with the manifest.
func DecodeChunk(data []byte) (chunk *tree.Chunk, err error) {
	defer func() { err = merry.Prepend(err, "decode chunk") }()
	var body struct {
		Scope  tree.Path                            `json:"scope"`
		Values map[mesh.Service]map[tree.Key]string `json:"values"`
	}
	if err = decode(data, MaxChunkBytes, &body); err != nil {
		return nil, err
	}
	if body.Scope.Scope() != body.Scope {
		return nil, fmt.Errorf("%q is not a scope", string(body.Scope))
	}
	var edits []tree.Edit
	for service, values := range body.Values {
		path := body.Scope
		if service != "" {
			path += tree.Path("/" + service)
		}
		for key, value := range values {
			edits = append(edits, tree.Edit{Path: path, Key: key, Value: value})
		}
	}
	if chunk, err = chunk.Patch(edits); err != nil {
		return nil, err
	}
	if !chunk.Empty() && chunk.Scope() != body.Scope {
		return nil, fmt.Errorf("values of %s stand outside of the scope %s", chunk.Scope(), body.Scope)
	}
	return chunk, nil
}

// encode marshals a body without the escapes that only HTML needs.
func encode(body any, limit int) (data []byte, err error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err = encoder.Encode(body); err != nil {
		return nil, err
	}
	data = bytes.TrimSpace(buffer.Bytes())
	if len(data) > limit {
		return nil, &tree.LimitExceededError{Name: "object", Size: len(data), Limit: limit}
	}
	return data, nil
}

// decode unmarshals data into the body that it points to.
func decode(data []byte, limit int, body any) (err error) {
	if len(data) > limit {
		return &tree.LimitExceededError{Name: "object", Size: len(data), Limit: limit}
	}
	return json.Unmarshal(data, body)
}
