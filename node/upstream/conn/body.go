package conn

import "io"

// BodyError reports that the request body could not be read: the caller
// disconnected, was too slow or sent too much. It is no failure of the upstream
// and must not count against its health.
type BodyError struct{ Err error }

// Error implements error.
func (e *BodyError) Error() string { return "body to send: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

// bodyReader records an error of the reader that it wraps: the error returned
// from writing a request does not tell whether reading the body or writing to
// the connection failed.
type bodyReader struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (s *bodyReader) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}
