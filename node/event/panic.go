package event

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"go.uber.org/zap"
)

// Panic logs that the handler of a request panicked with v, with the stack of
// the calling goroutine.
func (l *Log) Panic(request string, v any) {
	l.Emit(HandlerPanicked, zap.String("request", request), zap.String("value", PanicValue(v)), zap.ByteString("stack", debug.Stack()))
}

// PanicValue returns what may be logged of the value of a panic: the text of an
// error of the Go runtime, but only the type of any other value, which may hold
// parts of a request or a configuration.
func PanicValue(v any) string {
	if err, ok := v.(runtime.Error); ok {
		return err.Error()
	}
	return fmt.Sprintf("%T", v)
}
