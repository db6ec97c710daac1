package event

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"go.uber.org/zap"
)

// Panic writes that the handler of a request panicked with v, with the stack of
// the goroutine that calls it. A value that is not an error of the runtime may
// hold parts of the request, so that only its type is written.
func (l *Log) Panic(request string, v any) {
	value := fmt.Sprintf("%T", v)
	if err, ok := v.(runtime.Error); ok {
		value = err.Error()
	}
	l.Emit(HandlerPanicked, zap.String("request", request), zap.String("value", value), zap.ByteString("stack", debug.Stack()))
}
