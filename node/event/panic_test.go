package event_test

import (
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"peridotpier.example/node/event"
)

// Guards against part of a request's body in the log: a handler panics with a
// value that it built from the request, and the value is logged as it is.
func TestOnlyTheRuntimesPanicValuesAreLogged(t *testing.T) {
	core, lines := observer.New(zap.DebugLevel)
	log := event.NewLog(zap.New(core))
	for _, v := range []any{"secret", fmt.Errorf("secret"), []byte("secret")} {
		log.Panic("a", v)
	}
	func() {
		defer func() { log.Panic("a", recover()) }()
		var none []int
		_ = none[len(none)]
	}()
	found := lines.All()
	assert.Equal(t, len(found), 4)
	for _, l := range found[:3] {
		assert.Assert(t, !strings.Contains(fmt.Sprint(l.ContextMap()), "secret"))
	}
	assert.Equal(t, found[3].ContextMap()["value"], "runtime error: index out of range [0] with length 0")
	assert.Equal(t, found[3].ContextMap()["request"], "a")
}
