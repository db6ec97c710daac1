package follow

import (
	"github.com/rotisserie/eris"

	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
)

// recoverPanic runs fn and turns a panic into an error of what was read. Every host reads
// the same: otherwise one value would terminate each of them, again at every start.
func recoverPanic(fn func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &store.UnusableError{Err: eris.Errorf("panic: %s", event.PanicValue(v))}
		}
	}()
	return fn()
}
