package conn

import (
	"errors"
	"io"
	"time"
)

// ReadAll reads the body and ends the exchange. A body of more than limit bytes is an
// error: its rest would be read as the answer to the next request.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = ErrBodyTooLarge
	}
	if err != nil {
		r.Abort()
		return nil, err
	}
	r.Finish()
	return data, nil
}

// ReadAllWithin is ReadAll of a body that is needed only if it comes within the wait.
func (r *Response) ReadAllWithin(limit int64, wait time.Duration) ([]byte, error) {
	if err := r.SetReadDeadline(time.Now().Add(wait)); err != nil {
		r.Abort()
		return nil, err
	}
	return r.ReadAll(limit)
}

// ErrBodyTooLarge means that the body of an answer is larger than the caller of ReadAll accepts.
var ErrBodyTooLarge = errors.New("body of the answer is too large")

// SetReadDeadline bounds the reads of the body. The bound ends with the exchange.
func (r *Response) SetReadDeadline(t time.Time) error {
	r.readDeadline = t
	return r.conn.nc.SetReadDeadline(t)
}

// Discard ends an exchange whose body nobody needs. The connection is kept if the body, of
// at most limit bytes, ends within the wait, and else closed.
func (r *Response) Discard(limit int64, wait time.Duration) {
	if r.close || r.Length > limit || r.SetReadDeadline(time.Now().Add(wait)) != nil {
		r.Abort()
		return
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, limit+1)); err != nil || n > limit {
		r.Abort()
		return
	}
	r.Finish()
}
