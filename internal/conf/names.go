package conf

import (
	"reflect"
	"strings"
)

// yamlName returns the key of a field in the settings file.
func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}
