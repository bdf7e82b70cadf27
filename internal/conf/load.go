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

// LoadWithOverrides is Load with settings that take precedence over the file. An error is Violations,
// or tells why the file can't be read.
func LoadWithOverrides(file string, override func(node *Node)) (node Node, err error) {
	node = Default()
	return node, load(file, &node, func() { override(&node) })
}

// LoadProxy is LoadWith for the settings of a proxy.
func LoadProxy(file string, override func(proxy *Proxy)) (proxy Proxy, err error) {
	proxy = DefaultProxy()
	return proxy, load(file, &proxy, func() { override(&proxy) })
}

// settings are what a file may hold; a pointer to a struct.
type settings interface {
	// Check returns Violations when a setting is not allowed.
	Check() error
}

// load reads a file into settings that hold the defaults.
func load(file string, target settings, override func()) (err error) {
	info, err := os.Stat(file)
	if err != nil {
		return err
	}
	if info.Size() > maxFileBytes {
		return fmt.Errorf("%s: file of %d bytes exceeds %d", file, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	err = parse(data, target, override)
	var faults Violations
	if errors.As(err, &faults) {
		for i := range faults {
			faults[i].File = file
		}
	}
	return err
}

// Parse reads settings from YAML and checks them.
func Parse(data []byte) (node Node, err error) {
	node = Default()
	return node, parse(data, &node, func() {})
}

// parse returns Violations with what can't be decoded and what is not allowed.
func parse(data []byte, target settings, override func()) (err error) {
	d := decoder{positions: make(map[string]Position)}
	d.decode(data, target)
	override()
	var found Violations
	if err = target.Check(); err != nil && !errors.As(err, &found) {
		return err
	}
	for _, f := range found {
		if d.broken || d.faults.has(f.Path) {
			continue
		}
		f.Position = d.position(f.Path)
		d.faults = append(d.faults, f)
	}
	if len(d.faults) > 0 {
		return d.faults
	}
	return nil
}
