package config

import "fmt"

// Fault is one error in a configuration or settings document.
type Fault struct {
	Path    string `json:"path"` // JSON path such as models[3].pool; "$" for the whole document
	Problem string `json:"problem"`
}

// String returns path and problem on one line.
func (f Fault) String() string { return f.Path + ": " + f.Problem }

// rootPath is the path of the whole document.
const rootPath = "$"

// collector collects faults, so that an operator sees all of them at once.
type collector struct{ faults []Fault }

func (c *collector) add(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
}

// check adds a fault unless ok.
func (c *collector) check(ok bool, path, format string, args ...any) {
	if !ok {
		c.add(path, format, args...)
	}
}

// checkShare checks that x is from 0 to limit; the condition is written so that NaN
// fails.
func (c *collector) checkShare(x, limit float64, path string) {
	c.check(x >= 0 && x <= limit, path, "is %g, must be from 0 to %g", x, limit)
}

// maxQuantity bounds every quantity, so that sums cannot overflow; an overflow
// could make a model that never fits seem to fit.
const maxQuantity = 1_000_000_000_000

func (c *collector) checkPositive(x int, path string) {
	c.check(x > 0 && x <= maxQuantity, path, "is %d, must be from 1 to %d", x, maxQuantity)
}

func (c *collector) checkNotNegative(x int, path string) {
	c.check(x >= 0, path, "is %d, must not be negative", x)
}

// firstUses maps each name of one namespace to the path of its first use, to find
// names used twice.
type firstUses map[string]string

// checkName checks that a name is not empty and not used before.
func (c *collector) checkName(seen firstUses, name, path string) {
	if name == "" {
		c.add(path, "is empty")
		return
	}
	if first, ok := seen[name]; ok {
		c.add(path, "%q stands already at %s", name, first)
		return
	}
	seen[name] = path
}

// itemPath returns the path of a list's item, or of one of the item's fields.
func itemPath(list string, i int, field string) string {
	if field == "" {
		return fmt.Sprintf("%s[%d]", list, i)
	}
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}
