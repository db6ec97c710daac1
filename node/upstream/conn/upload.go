package conn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"peridotpier.example/node/pace"
)

// upload is the writing of a request, which may go on while its answer is read.
type upload struct {
	ended chan struct{} // closed when nothing more is written
	err   error         // why not all of the request was written; valid once ended is closed
}

// UploadState is how far a request has been written.
type UploadState uint8

// The states.
const (
	UploadWhole   UploadState = iota // the kernel has all of it
	UploadGoesOn                     // it is being written
	UploadStopped                    // a write failed
)

// String returns the state's name in logs.
func (s UploadState) String() string { return [...]string{"whole", "goes_on", "stopped"}[s] }

// wholeUpload is that of each request that was written before its answer was read.
var wholeUpload = newEndedUpload(nil)

// endedUpload returns an upload that has ended with err.
func endedUpload(err error) *upload {
	if err == nil {
		return wholeUpload
	}
	return newEndedUpload(err)
}

func newEndedUpload(err error) *upload {
	u := &upload{ended: make(chan struct{}), err: err}
	close(u.ended)
	return u
}

// startUpload writes a request on a goroutine of its own, which ends with the connection.
func startUpload(l *persistConn, r *Request, req *http.Request) *upload {
	u := &upload{ended: make(chan struct{})}
	go func() {
		defer close(u.ended)
		u.err = r.write(bufio.NewWriterSize(l, minConcurrentBody), req)
	}()
	return u
}

// State returns how far the request has been written.
func (u *upload) State() UploadState {
	select {
	case <-u.ended:
		if u.err != nil {
			return UploadStopped
		}
		return UploadWhole
	default:
		return UploadGoesOn
	}
}

// Upload returns how far the request of the answer has been written by now.
func (r *Response) Upload() UploadState { return r.upload.State() }

// ErrUploadStopped means that the connection of an answer that states no end ended before the
// request was written.
var ErrUploadStopped = errors.New("connection ended while the request was written")

// connEndedBody is a body whose end is that of its connection. The kernel reports a reset to one
// call alone: if that is a write of the request, the reads that follow return the end of the
// bytes, as after an orderly close. And who closes before all of the request has arrived sends
// the end first and the reset later. So the body is whole only if all of the request was
// written, and has arrived.
type connEndedBody struct {
	io.Reader
	response *Response
}

// Read implements io.Reader.
func (b connEndedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		if bad := b.response.awaitUpload(); bad != nil {
			return n, bad
		}
	}
	return n, err
}

// errUndelivered means that a part of the request did not arrive.
var errUndelivered = errors.New("not acknowledged")

// awaitUpload waits until the request is written and has arrived, or the read deadline has
// passed. It returns an error unless all of the request has arrived.
func (r *Response) awaitUpload() error {
	late := (<-chan time.Time)(nil)
	if !r.readDeadline.IsZero() {
		timer := time.NewTimer(time.Until(r.readDeadline))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-r.upload.ended:
	case <-late:
		return fmt.Errorf("%w: %w", ErrUploadStopped, os.ErrDeadlineExceeded)
	}
	switch {
	case r.upload.err != nil:
		return fmt.Errorf("%w: %w", ErrUploadStopped, r.upload.err)
	case !awaitDelivery(r.conn.nc, late):
		return fmt.Errorf("%w: %w", ErrUploadStopped, errUndelivered)
	}
	return nil
}

// maxUploadTime is how long a request is written on after its answer if the exchange has no
// deadline.
const maxUploadTime = 30 * time.Second

// OnUploaded sets a function that is called when a request has ended that Finish lets go on:
// err says why not all of it was written. It is called from another goroutine.
func (r *Response) OnUploaded(f func(err error)) { r.onUploaded = f }

// finishUpload lets the request be written to its end, by the deadline of the exchange, and then
// closes the connection. If the rest were cut off, the upstream would work on a part of a
// request whose caller has been told that all is well.
func (r *Response) finishUpload() {
	until := r.deadline
	if until.IsZero() {
		until = time.Now().Add(maxUploadTime)
	}
	_ = r.conn.nc.SetWriteDeadline(until) // fails on a closed connection, as the write does
	r.client.uploads.Add(1)
	go func() {
		defer r.client.uploads.Add(-1)
		<-r.upload.ended
		if r.upload.err != nil {
			r.conn.reset()
		} else {
			_ = r.conn.nc.Close()
		}
		if r.onUploaded != nil {
			r.onUploaded(r.upload.err)
		}
	}()
}

// Uploads returns how many requests are being written whose answers were read.
func (c *Client) Uploads() int { return int(c.uploads.Load()) }

// uploadCheckInterval is how often AwaitUploads looks.
const uploadCheckInterval = 20 * time.Millisecond

// AwaitUploads waits until no request is being written whose answer was read, or ctx ends.
func (c *Client) AwaitUploads(ctx context.Context) {
	for c.Uploads() > 0 && pace.Sleep(ctx, uploadCheckInterval) {
	}
}
