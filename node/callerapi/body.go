package callerapi

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"peridotpier.example/core/class"
	"peridotpier.example/core/fault"
	"peridotpier.example/node/connlimit"
	"peridotpier.example/node/readall"
)

// bodyTimeout bounds the time a caller may take to send a body that is buffered.
// Slower requests fail, so that slow bodies do not accumulate on the host.
const bodyTimeout = 30 * time.Second

// setReadDeadline sets the deadline for reading the rest of a request; the zero
// time removes it.
func setReadDeadline(w http.ResponseWriter, until time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(until) // unsupported in tests without a connection
}

// readBody reads an entire body of up to maxBytes.
func readBody(c *call, maxBytes int64) ([]byte, error) {
	r := c.Request()
	if r.ContentLength > maxBytes {
		return nil, tooLarge(maxBytes)
	}
	body, err := readall.Read(r.Body, r.ContentLength, maxBytes)
	if err != nil {
		var tooBig *http.MaxBytesError
		if errors.As(err, &tooBig) {
			return nil, tooLarge(maxBytes)
		}
		if connlimit.Refused(r.Context()) {
			return nil, fault.NotRun(fault.StepParse, "", fault.CodeOverloaded, "the host has no memory for the body")
		}
		return nil, fault.NotRun(fault.StepParse, callerPeer, fault.CodeBadRequest, "read body: %w", err)
	}
	if int64(len(body)) > maxBytes {
		return nil, tooLarge(maxBytes)
	}
	// The body is complete. From now on the connection is read only to notice that
	// the caller has disconnected, which must not end with the body's deadline.
	setReadDeadline(c.Response(), time.Time{})
	return body, nil
}

func tooLarge(maxBytes int64) error {
	return fault.NotRun(fault.StepParse, "", fault.CodeRequestTooLarge, "body is larger than %d bytes", maxBytes)
}

// requestOptions are the options that a caller sets in headers.
type requestOptions struct {
	class    class.Class
	deadline time.Time
	key      string // idempotency key; "" if there is none
}

func (a *API) parseOptions(c *call) (requestOptions, error) {
	h := c.Request().Header
	cl, err := class.Parse(h.Get(HeaderClass))
	if err != nil {
		return requestOptions{}, fault.NotRun(fault.StepParse, "", fault.CodeBadRequest, "%s: %w", HeaderClass, err)
	}
	timeout := time.Duration(c.state.Index.Rule(cl).DeadlineMs) * time.Millisecond
	if text := h.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return requestOptions{}, fault.NotRun(fault.StepParse, "", fault.CodeBadRequest, "%s: %q is not a number of milliseconds from 1 to %d", HeaderDeadline, text, maxDeadline.Milliseconds())
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	key := h.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return requestOptions{}, fault.NotRun(fault.StepParse, "", fault.CodeBadRequest, "%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	return requestOptions{class: cl, deadline: a.deps.Now().Add(timeout), key: key}, nil
}
