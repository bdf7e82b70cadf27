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

// Size limits of encoded objects. Each is above the largest size that the limits
// of the tree allow, and below the 1 MB that the platform stores per object.
const (
	// MaxHeadBytes bounds an encoded head.
	MaxHeadBytes = 768 << 10
	// MaxChangeBytes bounds an encoded change.
	MaxChangeBytes = 768 << 10
	// MaxChunkBytes bounds an encoded chunk.
	MaxChunkBytes = 960 << 10
)

// editJSON is the JSON form of an edit.
type editJSON struct {
	Path  tree.Path `json:"path"`
	Key   tree.Key  `json:"key"`
	Value string    `json:"value,omitempty"`
	Unset bool      `json:"unset,omitempty"`
}

// changeJSON is the JSON form of a change. In a head it is that of an accepted
// change.
type changeJSON struct {
	ID     mesh.ChangeID `json:"id"`
	Author string        `json:"author,omitempty"`
	At     time.Time     `json:"at"`
	Note   string        `json:"note,omitempty"`
	Base   mesh.Version  `json:"base"`
	Edits  []editJSON    `json:"edits"`
	// Version and Inverse are set only for an accepted change.
	Version mesh.Version `json:"version,omitempty"`
	Inverse []editJSON   `json:"inverse,omitempty"`
}

func newChangeJSON(change tree.Change) changeJSON {
	return changeJSON{
		ID: change.ID, Author: change.Author, At: change.At, Note: change.Note, Base: change.Base,
		Edits: newEditsJSON(change.Edits),
	}
}

func (c *changeJSON) change() tree.Change {
	return tree.Change{ID: c.ID, Author: c.Author, At: c.At, Note: c.Note, Base: c.Base, Edits: treeEdits(c.Edits)}
}

func newEditsJSON(edits []tree.Edit) []editJSON {
	bodies := make([]editJSON, 0, len(edits))
	for _, e := range edits {
		bodies = append(bodies, editJSON(e))
	}
	return bodies
}

func treeEdits(bodies []editJSON) (edits []tree.Edit) {
	for _, b := range bodies {
		edits = append(edits, tree.Edit(b))
	}
	return edits
}

// EncodeHead encodes a head as JSON.
func EncodeHead(head tree.Head) (data []byte, err error) {
	defer func() { err = merry.Prepend(err, "encode head") }()
	recent := make([]changeJSON, 0, len(head.Recent))
	for _, a := range head.Recent {
		body := newChangeJSON(a.Change)
		body.Version, body.Inverse = a.Version, newEditsJSON(a.Inverse)
		recent = append(recent, body)
	}
	return encode(struct {
		Version mesh.Version              `json:"version"`
		Root    mesh.Digest               `json:"root"`
		Chunks  map[tree.Path]mesh.Digest `json:"chunks"`
		Recent  []changeJSON              `json:"recent"`
	}{Version: head.Version, Root: head.RootDigest(), Chunks: head.Chunks, Recent: recent}, MaxHeadBytes)
}

// DecodeHead decodes a head and checks its root digest and its limits.
func DecodeHead(data []byte) (head tree.Head, err error) {
	defer func() { err = merry.Prepend(err, "decode head") }()
	var body struct {
		Version mesh.Version              `json:"version"`
		Root    mesh.Digest               `json:"root"`
		Chunks  map[tree.Path]mesh.Digest `json:"chunks"`
		Recent  []changeJSON              `json:"recent"`
	}
	if err = decode(data, MaxHeadBytes, &body); err != nil {
		return head, err
	}
	decoded := tree.Head{Manifest: tree.Manifest{Version: body.Version, Chunks: body.Chunks}}
	for _, b := range body.Recent {
		decoded.Recent = append(decoded.Recent, tree.AcceptedChange{
			Change: b.change(), Version: b.Version, Inverse: treeEdits(b.Inverse),
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

// EncodeChange encodes a change as JSON.
func EncodeChange(change tree.Change) (data []byte, err error) {
	defer func() { err = merry.Prepend(err, "encode change") }()
	return encode(newChangeJSON(change), MaxChangeBytes)
}

// DecodeChange decodes a change. It does not check whether the change can be
// accepted, which depends on the head.
func DecodeChange(data []byte) (change tree.Change, err error) {
	defer func() { err = merry.Prepend(err, "decode change") }()
	var body changeJSON
	if err = decode(data, MaxChangeBytes, &body); err != nil {
		return change, err
	}
	return body.change(), nil
}

// EncodeChunk encodes a chunk as JSON. The settings of the scope itself have an
// empty service name.
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

// DecodeChunk decodes a chunk. The caller must compare its digest with the
// manifest.
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
		return nil, fmt.Errorf("values of %s are outside of the scope %s", chunk.Scope(), body.Scope)
	}
	return chunk, nil
}

// encode marshals a body without escaping HTML characters.
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

// decode unmarshals data into the value that body points to.
func decode(data []byte, limit int, body any) (err error) {
	if len(data) > limit {
		return &tree.LimitExceededError{Name: "object", Size: len(data), Limit: limit}
	}
	return json.Unmarshal(data, body)
}
