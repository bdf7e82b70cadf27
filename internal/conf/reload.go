package conf

import "reflect"

// Reload returns the settings with those of next that take effect at run time, and the keys of
// the others that differ, which take effect with the next start.
func (p *Proxy) Reload(next *Proxy) (applied Proxy, pending []string) {
	applied = *p
	reload(reflect.ValueOf(&applied).Elem(), reflect.ValueOf(next).Elem(), "", &pending)
	return applied, pending
}

// reload copies the fields of next with the tag reload to current, and adds the keys of other
// fields that differ to pending.
func reload(current, next reflect.Value, prefix string, pending *[]string) {
	for i := range current.NumField() {
		field, key := current.Type().Field(i), prefix+yamlName(current.Type().Field(i))
		switch {
		case reflect.DeepEqual(current.Field(i).Interface(), next.Field(i).Interface()):
		case field.Tag.Get("reload") == "true":
			current.Field(i).Set(next.Field(i))
		case field.Type.Kind() == reflect.Struct && field.Type.PkgPath() == current.Type().PkgPath():
			reload(current.Field(i), next.Field(i), key+".", pending)
		default:
			*pending = append(*pending, key)
		}
	}
}
