package script_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

func TestConfigurationPageNamesEveryKey(t *testing.T) {
	treeKeys := make([]string, 0, len(tree.Specs()))
	for _, s := range tree.Specs() {
		treeKeys = append(treeKeys, s.Pattern+"` | ")
	}
	tests := []struct {
		name string
		keys []string
	}{
		{name: "settings tree", keys: treeKeys},
		{name: "node settings", keys: yamlKeys(reflect.TypeFor[conf.Node](), "")},
		{name: "proxy settings", keys: yamlKeys(reflect.TypeFor[conf.Proxy](), "")},
	}
	data, err := os.ReadFile(filepath.Join("..", "..", "docs", "CONFIGURATION.md"))
	assert.NilError(t, err)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, k := range tt.keys {
				assert.Check(t, strings.Contains(string(data), "`"+k), k)
			}
		})
	}
}

// yamlKeys lists the dotted keys of a struct with yaml tags. Each ends with a
// backquote, as in the tables of the page.
func yamlKeys(structType reflect.Type, prefix string) (keys []string) {
	for i := range structType.NumField() {
		field := structType.Field(i)
		key := prefix + field.Tag.Get("yaml")
		if field.Type.Kind() == reflect.Struct && field.Type.PkgPath() == structType.PkgPath() {
			keys = append(keys, yamlKeys(field.Type, key+".")...)
			continue
		}
		keys = append(keys, key+"`")
	}
	return keys
}
