// Package class defines the service classes of requests. The class of a request sets how
// urgent its answer is, and so which requests it may displace and how long it may wait.
package class

import "fmt"

// Class is the urgency of one request.
type Class uint8

// The classes, least urgent first, so that a larger value is more urgent.
const (
	Bulk Class = iota
	Standard
	Urgent
)

// Count is the number of classes, for arrays indexed by Class.
const Count = 3

var names = [Count]string{"bulk", "standard", "urgent"}

// String returns the class's name as used in settings and headers.
func (c Class) String() string {
	if int(c) < len(names) {
		return names[c]
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// Parse parses a class's name. The empty name stands for Standard; an unknown name is an error.
func Parse(name string) (Class, error) {
	if name == "" {
		return Standard, nil
	}
	for i, n := range names {
		if n == name {
			return Class(i), nil
		}
	}
	return Standard, fmt.Errorf("class %q is none of urgent, standard, bulk", name)
}

// MarshalText returns the class's name.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText parses the class's name.
func (c *Class) UnmarshalText(text []byte) error {
	v, err := Parse(string(text))
	*c = v
	return err
}
