package dispatch

import (
	"errors"
	"io"

	"peridotpier.example/node/eventstream"
	"peridotpier.example/node/upstream/conn"
)

// errInsideEvent means that a stream of events ended inside one: it was broken off,
// whatever the framing of its answer says.
var errInsideEvent = errors.New("stream ended inside an event")

// eventBody reads a stream of events.
type eventBody struct {
	r      io.Reader
	events eventstream.Scanner
}

// Read implements io.Reader. An end inside an event is an error.
func (b *eventBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.events.Scan(p[:n])
	if errors.Is(err, io.EOF) && b.events.InsideEvent() {
		err = errInsideEvent
	}
	return n, err
}

// bodyOf returns the body of an answer. An encoded one shows no events.
func bodyOf(resp *conn.Response) io.Reader {
	if !isEventStream(resp.Header) || eventstream.IsEncoded(resp.Header) {
		return resp.Body
	}
	return &eventBody{r: resp.Body}
}
