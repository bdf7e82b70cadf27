package mesh

import "fmt"

// Priority is the priority of a request; a higher value goes first.
type Priority uint8

// The priorities in ascending order.
const (
	Low Priority = iota
	Normal
	High
	Urgent
)

// NumPriorities is the number of priorities. Valid values are below it.
const NumPriorities = 4

var priorityNames = [NumPriorities]string{"low", "normal", "high", "urgent"}

// Priorities returns all priorities, the most urgent first.
func Priorities() [NumPriorities]Priority {
	return [NumPriorities]Priority{Urgent, High, Normal, Low}
}

// String returns the name used in settings and headers.
func (p Priority) String() string {
	if int(p) >= len(priorityNames) {
		return fmt.Sprintf("priority(%d)", uint8(p))
	}
	return priorityNames[p]
}

// ParsePriority returns the priority with the given name.
func ParsePriority(name string) (priority Priority, err error) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), nil
		}
	}
	return Low, fmt.Errorf("unknown priority %q, want low, normal, high or urgent", name)
}

// MarshalText implements encoding.TextMarshaler.
func (p Priority) MarshalText() (text []byte, err error) {
	return []byte(p.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Priority) UnmarshalText(text []byte) (err error) {
	*p, err = ParsePriority(string(text))
	return err
}
