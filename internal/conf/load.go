package conf

import (
	"errors"
	"fmt"
	"os"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 64 << 10

// Load reads and checks the settings in a file.
func Load(file string) (node Node, err error) {
	return LoadWithOverrides(file, func(*Node) {})
}

// LoadWithOverrides is Load with an override that takes precedence over the file.
// An error is Violations, or says why the file can't be read.
func LoadWithOverrides(file string, override func(node *Node)) (node Node, err error) {
	node = Default()
	return node, load(file, &node, func() { override(&node) })
}

// LoadProxy is LoadWithOverrides for the settings of a proxy.
func LoadProxy(file string, override func(proxy *Proxy)) (proxy Proxy, err error) {
	proxy = DefaultProxy()
	return proxy, load(file, &proxy, func() { override(&proxy) })
}

// settings is a pointer to a struct of settings.
type settings interface {
	// Check returns Violations if a setting is invalid.
	Check() error
}

// load reads a file into target, which holds the defaults.
func load(file string, target settings, override func()) (err error) {
	info, err := os.Stat(file)
	if err != nil {
		return err
	}
	if info.Size() > maxFileBytes {
		return fmt.Errorf("%s: settings file has %d bytes, the limit is %d", file, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	err = parse(data, target, override)
	var violations Violations
	if errors.As(err, &violations) {
		for i := range violations {
			violations[i].File = file
		}
	}
	return err
}

// Parse reads settings from YAML and checks them.
func Parse(data []byte) (node Node, err error) {
	node = Default()
	return node, parse(data, &node, func() {})
}

// parse decodes and checks settings. It returns Violations for both the settings
// that can't be decoded and those that are invalid.
func parse(data []byte, target settings, override func()) (err error) {
	d := decoder{positions: make(map[string]Position)}
	d.decode(data, target)
	override()
	var invalid Violations
	if err = target.Check(); err != nil && !errors.As(err, &invalid) {
		return err
	}
	for _, f := range invalid {
		if d.broken || d.violations.has(f.Path) {
			continue
		}
		f.Position = d.position(f.Path)
		d.violations = append(d.violations, f)
	}
	if len(d.violations) > 0 {
		return d.violations
	}
	return nil
}
