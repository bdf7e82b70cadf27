package conf

import (
	"errors"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// decoder reads settings from YAML. It continues after a violation, so that all
// of them are reported.
type decoder struct {
	violations Violations
	// positions maps the path of each setting to its position in the file.
	positions map[string]Position
	// broken is true if the text is not valid YAML.
	broken bool
}

func (d *decoder) decode(data []byte, target settings) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.broken = true
		d.addSyntaxError(err)
		return
	}
	for i, v := range file.Docs {
		if i > 0 {
			d.add(v.Start, "", "", "one document")
			return
		}
		if v.Body != nil {
			d.decodeValue(v.Body, reflect.ValueOf(target).Elem(), "")
		}
	}
}

// addSyntaxError adds an error of the parser.
func (d *decoder) addSyntaxError(err error) {
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		d.add(nil, "", "", err.Error())
		return
	}
	at := syntax.GetToken()
	text := ""
	if at != nil {
		text = at.Value
	}
	d.add(at, "", text, "YAML: "+syntax.GetMessage())
}

func (d *decoder) add(at *token.Token, path, value, expected string) {
	d.violations = append(d.violations, Violation{Position: positionOf(at), Path: path, Value: value, Expected: expected})
}

func positionOf(at *token.Token) (position Position) {
	if at == nil || at.Position == nil {
		return position
	}
	return Position{Line: at.Position.Line, Column: at.Position.Column}
}

// position returns the position of a setting or, if it is missing, of the closest
// enclosing group in the file.
func (d *decoder) position(path string) (position Position) {
	for {
		if position, found := d.positions[path]; found {
			return position
		}
		end := strings.LastIndexAny(path, ".[")
		if end < 0 {
			return Position{Line: 1, Column: 1}
		}
		path = path[:end]
	}
}

// decodeValue decodes a YAML node into a setting or a group of settings.
func (d *decoder) decodeValue(node ast.Node, target reflect.Value, path string) {
	switch {
	case isGroup(target.Type()):
		d.decodeGroup(node, target, path)
	case target.Kind() == reflect.Slice:
		d.decodeList(node, target, path)
	default:
		if err := yaml.NodeToValue(node, target.Addr().Interface()); err != nil {
			d.add(node.GetToken(), path, textOf(node), expectedByType(target.Type()))
		}
	}
}

func isGroup(kind reflect.Type) bool {
	return kind.Kind() == reflect.Struct && kind != reflect.TypeFor[netip.AddrPort]()
}

func (d *decoder) decodeGroup(node ast.Node, target reflect.Value, path string) {
	var pairs []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		pairs = n.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{n}
	default:
		d.add(node.GetToken(), path, textOf(node), "a mapping")
		return
	}
	for _, p := range pairs {
		name := textOf(p.Key)
		inner := strings.TrimPrefix(path+"."+name, ".")
		field, known := fieldByKey(target, name)
		if !known {
			d.add(p.Key.GetToken(), inner, textOf(p.Value), "a known key")
			continue
		}
		d.positions[inner] = positionOf(p.Key.GetToken())
		d.decodeValue(p.Value, field, inner)
	}
}

func (d *decoder) decodeList(node ast.Node, target reflect.Value, path string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.add(node.GetToken(), path, textOf(node), "a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values)))
	for i, v := range sequence.Values {
		inner := path + "[" + strconv.Itoa(i) + "]"
		d.positions[inner] = positionOf(v.GetToken())
		d.decodeValue(v, target.Index(i), inner)
	}
}

// fieldByKey returns the struct field with the key.
func fieldByKey(target reflect.Value, name string) (field reflect.Value, known bool) {
	for i := range target.NumField() {
		if yamlName(target.Type().Field(i)) == name {
			return target.Field(i), true
		}
	}
	return field, false
}

func textOf(node ast.Node) string {
	if text, ok := node.(*ast.StringNode); ok {
		return text.Value
	}
	return strings.TrimSpace(node.String())
}

// expectedByType describes the values that a setting of the type takes.
func expectedByType(kind reflect.Type) string {
	switch {
	case kind == reflect.TypeFor[netip.AddrPort]():
		return expectedAddress
	case kind == reflect.TypeFor[time.Duration]():
		return "a duration such as 1.5s"
	case kind.Kind() == reflect.String:
		return "text"
	case kind.Kind() == reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
