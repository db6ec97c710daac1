package conn

import (
	"bufio"
	"net/http"
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

// startUpload writes req on a goroutine of its own, which ends with the connection.
func startUpload(l *persistConn, req *http.Request) *upload {
	u := &upload{ended: make(chan struct{})}
	go func() {
		defer close(u.ended)
		bw := bufio.NewWriterSize(l, minConcurrentBody)
		if u.err = req.Write(bw); u.err == nil {
			u.err = bw.Flush()
		}
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
