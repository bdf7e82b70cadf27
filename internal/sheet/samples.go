package sheet

import (
	"embed"
	"fmt"
)

//go:embed samples/*.yaml
var samples embed.FS

// Sample returns the sample document with the name: "trauerhaus" or "kylvoelehti".
func Sample(name string) (data []byte, err error) {
	if data, err = samples.ReadFile("samples/" + name + ".yaml"); err != nil {
		return nil, fmt.Errorf("no sample %q", name)
	}
	return data, nil
}
