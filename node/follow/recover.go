package follow

import (
	"github.com/rotisserie/eris"

	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
)

// recoverPanic makes a panic an error of what was read. Every host reads the same:
// without it one value would end each of them, again at every start.
func recoverPanic(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &store.UnusableError{Err: eris.Errorf("panic: %s", event.PanicValue(v))}
		}
	}()
	return f()
}
