package conf_test

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/conf"
)

// settingsOf calls visit for each setting of a proxy with its key.
func settingsOf(value reflect.Value, prefix string, isReloaded bool, visit func(key string, field reflect.Value, isReloaded bool)) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		key := prefix + field.Tag.Get("yaml")
		reloaded := isReloaded || field.Tag.Get("reload") == "true"
		if field.Type.PkgPath() == value.Type().PkgPath() && field.Type.Kind() == reflect.Struct {
			settingsOf(value.Field(i), key+".", reloaded, visit)
			continue
		}
		visit(key, value.Field(i), reloaded)
	}
}

// change sets a setting to another value.
func change(t *testing.T, field reflect.Value) {
	switch field.Kind() {
	case reflect.String:
		field.SetString(field.String() + "x")
	case reflect.Bool:
		field.SetBool(!field.Bool())
	case reflect.Float64:
		field.SetFloat(field.Float() + 1)
	case reflect.Int64:
		field.SetInt(field.Int() + int64(time.Second))
	case reflect.Struct:
		assert.NilError(t, field.Addr().Interface().(interface{ UnmarshalText([]byte) error }).UnmarshalText([]byte("127.0.0.1:9")))
	default:
		t.Fatalf("setting of kind %s", field.Kind())
	}
}

// TestChangedSettingsTakeEffectOrAreTold guards against a changed setting that is ignored
// without a word, and against a page that tells the contrary of what happens.
func TestChangedSettingsTakeEffectOrAreTold(t *testing.T) {
	data, err := os.ReadFile("../../docs/CONFIGURATION.md")
	assert.NilError(t, err)
	_, page, found := strings.Cut(string(data), "## Settings of a proxy")
	assert.Assert(t, found)
	told := make(map[string]string)
	for line := range strings.Lines(page) {
		if cells := strings.Split(line, "|"); len(cells) > 6 {
			told[strings.Trim(cells[1], " `")] = strings.TrimSpace(cells[4])
		}
	}
	current := conf.DefaultProxy()
	settingsOf(reflect.ValueOf(&current).Elem(), "", false, func(key string, _ reflect.Value, isReloaded bool) {
		t.Run(key, func(t *testing.T) {
			next := conf.DefaultProxy()
			settingsOf(reflect.ValueOf(&next).Elem(), "", false, func(other string, field reflect.Value, _ bool) {
				if other == key {
					change(t, field)
				}
			})
			applied, pending := current.Reload(&next)
			if isReloaded {
				assert.Equal(t, told[key], "at once")
				assert.Equal(t, applied, next)
				assert.Equal(t, len(pending), 0)
				return
			}
			assert.Equal(t, told[key], "restart")
			assert.Equal(t, applied, current)
			assert.DeepEqual(t, pending, []string{key})
		})
	})
}
