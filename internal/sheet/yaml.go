// Package sheet holds the encodings of the settings tree: the YAML documents
// that operators write, and the JSON objects that the platform keeps. It
// decides nothing about what the settings mean.
package sheet

import (
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// Bounds of a YAML document.
const (
	// MaxDocumentBytes bounds a document.
	MaxDocumentBytes = 512 << 10
	// maxDepth bounds the nesting of brackets and of what begins on one line.
	maxDepth = 16
	// maxIndent bounds the spaces before a line, and so the nesting of lines.
	maxIndent = 128
)

// Position is a place in a document; both numbers start at 1.
type Position struct {
	Line, Column int
}

// String returns the position as "line:column".
func (p Position) String() string {
	return fmt.Sprintf("%d:%d", p.Line, p.Column)
}

// Document is a YAML document taken apart.
type Document struct {
	// Edits stand in the order of the document; their values are as written.
	Edits []tree.Edit
	// Positions holds where the key of each edit stands.
	Positions []Position
}

// Locate returns where the document sets what the fault names, and false if it
// does not. A fault of a group of settings is located at its first setting.
func (d *Document) Locate(fault tree.Violation) (position Position, ok bool) {
	for i, e := range d.Edits {
		if e.Path == fault.Path && (e.Key == fault.Key || strings.HasPrefix(string(e.Key), string(fault.Key)+".")) {
			return d.Positions[i], true
		}
	}
	return position, false
}

// SyntaxError tells where a document has not the form of a settings document.
type SyntaxError struct {
	Position
	// Message says what is wrong there.
	Message string
}

// Error implements error.
func (s *SyntaxError) Error() string {
	return s.String() + ": " + s.Message
}

// ParseYAML takes a document apart: customers hold regions, which hold
// services, and each of them and the document itself may have settings. A null
// unsets one setting, or every setting of a group or route.
func ParseYAML(data []byte) (document *Document, err error) {
	defer func() { err = merry.Prepend(err, "settings document") }()
	if len(data) > MaxDocumentBytes {
		return nil, &tree.LimitExceededError{Name: "document", Size: len(data), Limit: MaxDocumentBytes}
	}
	tokens := lexer.Tokenize(string(data))
	if err = checkDepth(tokens); err != nil {
		return nil, err
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return nil, positioned(err)
	}
	document = &Document{}
	for i, d := range file.Docs {
		if i > 0 {
			return nil, fault(d, "a second document in one file")
		}
		if err = document.readNode(d.Body, ""); err != nil {
			return nil, err
		}
	}
	return document, nil
}

// checkDepth refuses documents that nest deeper than any settings do, since
// the parser calls itself for each level.
func checkDepth(tokens token.Tokens) error {
	depth, line, starts := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, starts = t.Position.Line, 0
		}
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		case token.SequenceEntryType, token.MappingKeyType, token.AnchorType, token.TagType:
			starts++
		}
		if max(depth, starts) > maxDepth || t.Position.IndentNum > maxIndent {
			return &SyntaxError{Position: positionOf(t), Message: "nested too deep"}
		}
	}
	return nil
}

func positionOf(t *token.Token) (position Position) {
	if t == nil || t.Position == nil {
		return position
	}
	return Position{Line: t.Position.Line, Column: t.Position.Column}
}

// positioned turns an error of the parser into a SyntaxError.
func positioned(err error) error {
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		return err
	}
	return &SyntaxError{Position: positionOf(syntax.GetToken()), Message: syntax.GetMessage()}
}

func fault(node ast.Node, message string) error {
	var at *token.Token
	if node != nil {
		at = node.GetToken()
	}
	return &SyntaxError{Position: positionOf(at), Message: message}
}

// childrenKeys are the keys under which the nodes of the next level stand.
var childrenKeys = map[tree.Level]string{
	tree.RootLevel:     "customers",
	tree.CustomerLevel: "regions",
	tree.RegionLevel:   "services",
}

// readNode reads the settings of one path and of the paths below it.
func (d *Document) readNode(node ast.Node, path tree.Path) error {
	pairs, err := pairsOf(node)
	if err != nil {
		return err
	}
	before := len(d.Edits)
	children := childrenKeys[path.Level()]
	for _, p := range pairs {
		key, errKey := keyOf(p)
		if errKey != nil {
			return errKey
		}
		switch key {
		case "settings":
			err = d.readSettings(p.Value, path, "")
		case children:
			err = d.readChildren(p.Value, path)
		default:
			err = fault(p.Key, fmt.Sprintf("unknown key %q at the level %s", key, path.Level()))
		}
		if err != nil {
			return err
		}
	}
	if len(d.Edits) == before && path != "" {
		return fault(node, fmt.Sprintf("%s has no settings, give it at least a description", path))
	}
	return nil
}

func (d *Document) readChildren(node ast.Node, path tree.Path) error {
	pairs, err := pairsOf(node)
	if err != nil {
		return err
	}
	for _, p := range pairs {
		name, errKey := keyOf(p)
		if errKey != nil {
			return errKey
		}
		if errName := mesh.CheckName(name); errName != nil {
			return fault(p.Key, errName.Error())
		}
		child := tree.Path(name)
		if path != "" {
			child = path + "/" + child
		}
		if err = d.readNode(p.Value, child); err != nil {
			return err
		}
	}
	return nil
}

// readSettings flattens nested settings to dotted keys.
func (d *Document) readSettings(node ast.Node, path tree.Path, prefix string) error {
	pairs, err := pairsOf(node)
	if err != nil {
		return err
	}
	for _, p := range pairs {
		name, errKey := keyOf(p)
		if errKey != nil {
			return errKey
		}
		key := tree.Key(prefix + name)
		if errKey = tree.CheckKey(key); errKey != nil {
			return fault(p.Key, errKey.Error())
		}
		switch p.Value.(type) {
		case *ast.MappingNode, *ast.MappingValueNode:
			err = d.readSettings(p.Value, path, string(key)+".")
		default:
			err = d.readValue(p, path, key)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) readValue(pair *ast.MappingValueNode, path tree.Path, key tree.Key) error {
	if null, ok := pair.Value.(*ast.NullNode); ok {
		if null.GetToken().Type == token.ImplicitNullType {
			return fault(pair.Key, fmt.Sprintf("%s has no value, write null to unset it", key))
		}
		return d.unset(pair, path, key)
	}
	text, err := textOf(pair.Value)
	if err != nil {
		return err
	}
	d.add(pair, tree.Edit{Path: path, Key: key, Value: text})
	return nil
}

// unset unsets the key, or every key below it if it names a group or route.
func (d *Document) unset(pair *ast.MappingValueNode, path tree.Path, key tree.Key) error {
	keys := expand(key)
	if len(keys) == 0 {
		return fault(pair.Key, fmt.Sprintf("no setting %s to unset", key))
	}
	for _, k := range keys {
		d.add(pair, tree.Edit{Path: path, Key: k, Unset: true})
	}
	return nil
}

// expand returns the key if it is a setting, else the settings of that group.
func expand(key tree.Key) (keys []tree.Key) {
	words := strings.Split(string(key), ".")
	for _, s := range tree.Specs() {
		pattern := strings.Split(s.Pattern, ".")
		if len(words) > len(pattern) {
			continue
		}
		for i, w := range words {
			if pattern[i] == "*" {
				pattern[i] = w
			}
		}
		full := strings.Join(pattern, ".")
		if full == string(key) || strings.HasPrefix(full, string(key)+".") && !strings.Contains(full, "*") {
			keys = append(keys, tree.Key(full))
		}
	}
	return keys
}

func (d *Document) add(pair *ast.MappingValueNode, edit tree.Edit) {
	d.Edits = append(d.Edits, edit)
	d.Positions = append(d.Positions, positionOf(pair.Key.GetToken()))
}

// pairsOf returns the pairs of a mapping; an empty document has none.
func pairsOf(node ast.Node) (pairs []*ast.MappingValueNode, err error) {
	switch n := node.(type) {
	case nil:
		return nil, nil
	case *ast.MappingNode:
		return n.Values, nil
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, nil
	default:
		return nil, fault(node, "a mapping must stand here")
	}
}

func keyOf(pair *ast.MappingValueNode) (key string, err error) {
	if n, ok := pair.Key.(*ast.StringNode); ok {
		return n.Value, nil
	}
	if n, ok := pair.Key.(*ast.IntegerNode); ok {
		return n.GetToken().Value, nil
	}
	return "", fault(pair.Key, "key must be a plain name")
}

// textOf returns the text of a value as written; a list becomes a
// comma-separated one.
func textOf(node ast.Node) (text string, err error) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, nil
	case *ast.LiteralNode:
		return strings.TrimSpace(n.Value.Value), nil
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return node.GetToken().Value, nil
	case *ast.SequenceNode:
		words := make([]string, 0, len(n.Values))
		for _, v := range n.Values {
			if _, nested := v.(*ast.SequenceNode); nested {
				return "", fault(v, "a list must not hold a list")
			}
			word, errWord := textOf(v)
			if errWord != nil {
				return "", errWord
			}
			words = append(words, word)
		}
		return strings.Join(words, ","), nil
	default:
		return "", fault(node, "a plain value must stand here")
	}
}
