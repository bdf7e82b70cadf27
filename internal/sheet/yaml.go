// Package sheet implements the encodings of the settings tree: the YAML documents
// that operators write, and the JSON objects that the platform stores. It does
// not interpret the settings.
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

// Limits of a YAML document.
const (
	// MaxDocumentBytes bounds a document.
	MaxDocumentBytes = 512 << 10
	// maxDepth bounds the nesting of brackets and of the collections that begin on
	// one line.
	maxDepth = 16
	// maxIndent bounds the indentation of a line, and so the nesting over lines.
	maxIndent = 128
)

// Position is a position in a document. Line and column start at 1.
type Position struct {
	Line, Column int
}

// String returns the position as "line:column".
func (p Position) String() string {
	return fmt.Sprintf("%d:%d", p.Line, p.Column)
}

// Document is a parsed YAML document.
type Document struct {
	// Edits are in the order of the document. Their values are as written.
	Edits []tree.Edit
	// Positions holds the position of the key of each edit.
	Positions []Position
}

// Locate returns the position at which the document sets the value of a violation,
// and false if it does not set it. For a group of settings it is the position of
// the first setting.
func (d *Document) Locate(violation tree.Violation) (position Position, ok bool) {
	for i, e := range d.Edits {
		if e.Path == violation.Path && (e.Key == violation.Key || strings.HasPrefix(string(e.Key), string(violation.Key)+".")) {
			return d.Positions[i], true
		}
	}
	return position, false
}

// SyntaxError reports a part of a document that is not valid in a settings
// document.
type SyntaxError struct {
	Position
	// Message describes the error.
	Message string
}

// Error implements error.
func (s *SyntaxError) Error() string {
	return s.String() + ": " + s.Message
}

// ParseYAML parses a document: customers contain regions, which contain services.
// Each of them, and the document itself, may have settings. A null unsets one
// setting, or every setting of a group or route.
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
		return nil, toSyntaxError(err)
	}
	document = &Document{}
	for i, d := range file.Docs {
		if i > 0 {
			return nil, syntaxErrorAt(d, "a file must contain one document")
		}
		if err = document.readNode(d.Body, ""); err != nil {
			return nil, err
		}
	}
	return document, nil
}

// checkDepth rejects documents that are nested more deeply than any settings are,
// since the parser recurses for each level.
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
			return &SyntaxError{Position: positionOf(t), Message: "nested too deeply"}
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

// toSyntaxError converts an error of the parser to a SyntaxError.
func toSyntaxError(err error) error {
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		return err
	}
	return &SyntaxError{Position: positionOf(syntax.GetToken()), Message: syntax.GetMessage()}
}

func syntaxErrorAt(node ast.Node, message string) error {
	var at *token.Token
	if node != nil {
		at = node.GetToken()
	}
	return &SyntaxError{Position: positionOf(at), Message: message}
}

// childrenKeys holds the key under which each level lists its children.
var childrenKeys = map[tree.Level]string{
	tree.RootLevel:     "customers",
	tree.CustomerLevel: "regions",
	tree.RegionLevel:   "services",
}

// readNode reads the settings of one path and of the paths below it.
func (d *Document) readNode(node ast.Node, path tree.Path) error {
	pairs, err := mappingPairs(node)
	if err != nil {
		return err
	}
	before := len(d.Edits)
	children := childrenKeys[path.Level()]
	for _, p := range pairs {
		key, errKey := keyText(p)
		if errKey != nil {
			return errKey
		}
		switch key {
		case "settings":
			err = d.readSettings(p.Value, path, "")
		case children:
			err = d.readChildren(p.Value, path)
		default:
			err = syntaxErrorAt(p.Key, fmt.Sprintf("unknown key %q at the level %s", key, path.Level()))
		}
		if err != nil {
			return err
		}
	}
	if len(d.Edits) == before && path != "" {
		return syntaxErrorAt(node, fmt.Sprintf("%s has no settings, set at least a description", path))
	}
	return nil
}

func (d *Document) readChildren(node ast.Node, path tree.Path) error {
	pairs, err := mappingPairs(node)
	if err != nil {
		return err
	}
	for _, p := range pairs {
		name, errKey := keyText(p)
		if errKey != nil {
			return errKey
		}
		if errName := mesh.CheckName(name); errName != nil {
			return syntaxErrorAt(p.Key, errName.Error())
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
	pairs, err := mappingPairs(node)
	if err != nil {
		return err
	}
	for _, p := range pairs {
		name, errKey := keyText(p)
		if errKey != nil {
			return errKey
		}
		key := tree.Key(prefix + name)
		if errKey = tree.CheckKey(key); errKey != nil {
			return syntaxErrorAt(p.Key, errKey.Error())
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
			return syntaxErrorAt(pair.Key, fmt.Sprintf("%s has no value, write null to unset it", key))
		}
		return d.unset(pair, path, key)
	}
	text, err := valueText(pair.Value)
	if err != nil {
		return err
	}
	d.add(pair, tree.Edit{Path: path, Key: key, Value: text})
	return nil
}

// unset unsets the key or, if it names a group or route, every key below it.
func (d *Document) unset(pair *ast.MappingValueNode, path tree.Path, key tree.Key) error {
	keys := expandKey(key)
	if len(keys) == 0 {
		return syntaxErrorAt(pair.Key, fmt.Sprintf("no setting %s to unset", key))
	}
	for _, k := range keys {
		d.add(pair, tree.Edit{Path: path, Key: k, Unset: true})
	}
	return nil
}

// expandKey returns the key if it is a setting, else the settings of the group.
func expandKey(key tree.Key) (keys []tree.Key) {
	parts := strings.Split(string(key), ".")
	for _, s := range tree.Specs() {
		pattern := strings.Split(s.Pattern, ".")
		if len(parts) > len(pattern) {
			continue
		}
		for i, p := range parts {
			if pattern[i] == "*" {
				pattern[i] = p
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

// mappingPairs returns the pairs of a mapping; none for an empty document.
func mappingPairs(node ast.Node) (pairs []*ast.MappingValueNode, err error) {
	switch n := node.(type) {
	case nil:
		return nil, nil
	case *ast.MappingNode:
		return n.Values, nil
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, nil
	default:
		return nil, syntaxErrorAt(node, "expected a mapping")
	}
}

func keyText(pair *ast.MappingValueNode) (key string, err error) {
	if n, ok := pair.Key.(*ast.StringNode); ok {
		return n.Value, nil
	}
	if n, ok := pair.Key.(*ast.IntegerNode); ok {
		return n.GetToken().Value, nil
	}
	return "", syntaxErrorAt(pair.Key, "key must be a string or an integer")
}

// valueText returns a value as written, and a list as a comma-separated text.
func valueText(node ast.Node) (text string, err error) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, nil
	case *ast.LiteralNode:
		return strings.TrimSpace(n.Value.Value), nil
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return node.GetToken().Value, nil
	case *ast.SequenceNode:
		items := make([]string, 0, len(n.Values))
		for _, v := range n.Values {
			if _, nested := v.(*ast.SequenceNode); nested {
				return "", syntaxErrorAt(v, "a list must not contain a list")
			}
			item, errItem := valueText(v)
			if errItem != nil {
				return "", errItem
			}
			items = append(items, item)
		}
		return strings.Join(items, ","), nil
	default:
		return "", syntaxErrorAt(node, "expected a scalar value or a list")
	}
}
