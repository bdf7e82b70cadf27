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
	ofTree := make([]string, 0, len(tree.Specs()))
	for _, s := range tree.Specs() {
		ofTree = append(ofTree, s.Pattern+"` | ")
	}
	tests := []struct {
		name string
		keys []string
	}{
		{name: "settings tree", keys: ofTree},
		{name: "node settings", keys: keysOf(reflect.TypeFor[conf.Node](), "")},
		{name: "proxy settings", keys: keysOf(reflect.TypeFor[conf.Proxy](), "")},
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

// keysOf lists the dotted keys of a struct with yaml tags.
func keysOf(kind reflect.Type, prefix string) (keys []string) {
	for i := range kind.NumField() {
		field := kind.Field(i)
		name := prefix + field.Tag.Get("yaml")
		if field.Type.Kind() == reflect.Struct && field.Type.PkgPath() == kind.PkgPath() {
			keys = append(keys, keysOf(field.Type, name+".")...)
			continue
		}
		keys = append(keys, name+"`")
	}
	return keys
}
