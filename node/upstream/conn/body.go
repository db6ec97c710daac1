package conn

import "io"

// BodyError is a failure of the stream that an exchange was to send: its
// caller hung up, was too slow or sent too much. The upstream is not to blame,
// and must not be taken for broken because of it.
type BodyError struct{ Err error }

// Error implements error.
func (e *BodyError) Error() string { return "body to send: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

// bodyReader remembers that its reader failed: the error that comes back from
// writing a request does not tell which of its two sides broke.
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
