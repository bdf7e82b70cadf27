package sheet

import (
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"

	"arbutusstep.example/arbutusstep/pkg/tree"
)

// RenderYAML returns a document from which ParseYAML reads the values of the tree.
func RenderYAML(t *tree.Tree) (data []byte, err error) {
	return yaml.Marshal(renderNode(t, ""))
}

// renderNode returns the settings of a path and of the paths below it.
func renderNode(t *tree.Tree, path tree.Path) (node yaml.MapSlice) {
	var settings yaml.MapSlice
	for _, e := range t.Values(path) {
		settings = insertValue(settings, strings.Split(string(e.Key), "."), e)
	}
	if len(settings) > 0 {
		node = append(node, yaml.MapItem{Key: "settings", Value: settings})
	}
	paths := childPaths(t, path)
	if len(paths) == 0 {
		return node
	}
	children := make(yaml.MapSlice, 0, len(paths))
	for _, p := range paths {
		name := string(p[strings.LastIndex(string(p), "/")+1:])
		children = append(children, yaml.MapItem{Key: name, Value: renderNode(t, p)})
	}
	return append(node, yaml.MapItem{Key: childrenKeys[path.Level()], Value: children})
}

// childPaths returns the paths one level below.
func childPaths(t *tree.Tree, path tree.Path) (paths []tree.Path) {
	switch path.Level() {
	case tree.RootLevel:
		for _, c := range t.Customers() {
			paths = append(paths, tree.Join(c, "", ""))
		}
	case tree.CustomerLevel:
		for _, r := range t.Regions(path.Customer()) {
			paths = append(paths, tree.Join(path.Customer(), r, ""))
		}
	case tree.RegionLevel:
		for _, s := range t.Services(path.Customer(), path.Region()) {
			paths = append(paths, tree.Join(path.Customer(), path.Region(), s))
		}
	}
	return paths
}

// insertValue adds the value of an edit under the dotted parts of its key. Edits
// must be added in sorted order.
func insertValue(settings yaml.MapSlice, parts []string, edit tree.Edit) yaml.MapSlice {
	if len(parts) == 1 {
		return append(settings, yaml.MapItem{Key: parts[0], Value: yamlScalar(edit.Value)})
	}
	if last := len(settings) - 1; last >= 0 && settings[last].Key == parts[0] {
		if group, ok := settings[last].Value.(yaml.MapSlice); ok {
			settings[last].Value = insertValue(group, parts[1:], edit)
			return settings
		}
	}
	return append(settings, yaml.MapItem{Key: parts[0], Value: insertValue(nil, parts[1:], edit)})
}

// yamlScalar returns the value as an integer or a boolean if that reads back as
// the same text, so that YAML writes it without quotes.
func yamlScalar(text string) any {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil && strconv.FormatInt(n, 10) == text {
		return n
	}
	if text == "true" || text == "false" {
		return text == "true"
	}
	return text
}
