package conn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"peridotpier.example/core/fault"
)

// Defaults of Config.
const (
	defaultDialTimeout  = time.Second     // the data centres are close together: a dial takes milliseconds
	defaultMaxIdleTime  = 5 * time.Second // below the usual idle timeouts of upstreams, so that a pooled connection is rarely found closed
	defaultMaxIdleConns = 64              // for each address
)

// Config configures a Client; zero values take the defaults.
type Config struct {
	DialTimeout  time.Duration
	MaxIdleTime  time.Duration // after which an idle connection is not reused
	MaxIdleConns int           // for each address
	Dialer       Dialer
}

// Client sends requests to upstreams and pools the connections to them. It never
// sends a request twice. It is safe for concurrent use.
type Client struct {
	cfg   Config
	mu    sync.RWMutex
	pools map[string]*pool // by address
	// uploads is the number of requests that are written on after their answers were read.
	uploads atomic.Int64
}

// New returns a Client without connections. Zero fields of cfg get their defaults.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.MaxIdleTime == 0 {
		cfg.MaxIdleTime = defaultMaxIdleTime
	}
	if cfg.MaxIdleConns == 0 {
		cfg.MaxIdleConns = defaultMaxIdleConns
	}
	if cfg.Dialer == nil {
		cfg.Dialer = &net.Dialer{}
	}
	return &Client{cfg: cfg, pools: map[string]*pool{}}
}

// Request is one send of a request to an upstream. Body is sent with its length; Stream,
// when not nil, is sent instead, with chunked encoding when StreamLength is negative.
type Request struct {
	// ID is the name by which answers name the request, the same for all its sends. Sent to
	// an address again, it gets a new connection, on which no answer to an earlier send can
	// come. "": its answers do not name it.
	ID            string
	Address       string
	Method        string
	Path          string
	Query         string
	Target        string // request target, sent unchanged in place of Path and Query; "" sends these
	Host          string // value of the Host header; "" sends Address
	Header        http.Header
	Body          []byte
	Stream        io.Reader
	StreamLength  int64
	NewConnection bool // do not use a pooled connection
	// StillWanted reports whether the request should still be sent. It is called
	// once the connection is open, since dialling may take seconds. nil sends always.
	StillWanted func() bool
	// Owner tells from the head of an answer whose answer it is. The answers of a peer that
	// may send some twice, or late, need one: nil takes each for the request's own.
	Owner func(h http.Header) Owner
	// OnForeign is called for each answer that is not proven to be the request's; nil: none is.
	OnForeign func(ForeignAnswer)

	bodyReader *bodyReader // reads Stream
}

// ErrNoLongerWanted means that StillWanted reported false once the connection was open.
var ErrNoLongerWanted = errors.New("not wanted any more")

// ErrNewConnectionEnded means that a connection ended with its first exchange, without a
// byte of an answer.
var ErrNewConnectionEnded = errors.New("new connection ended without an answer")

// Response is the answer to a Request. The caller ends it with Finish or Abort;
// calls after the first have no effect.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	Length int64 // of the body; -1 if not stated
	// Framing is how the answer states where its body ends.
	Framing Framing

	// Interim is the number of interim answers that came before it.
	Interim int

	client *Client
	conn   *persistConn
	upload *upload
	close  bool
	stop   func() bool // detaches the connection from the context
	ended  atomic.Bool
	// deadline is when the exchange must have ended; zero: it has no bound.
	deadline time.Time
	// onUploaded is called when a request that is written on after Finish has ended; nil: none.
	onUploaded func(err error)
	// readDeadline is that of Body; zero: none was set. It must not bound the next exchange.
	readDeadline time.Time
}

// Do writes the request and reads the head of its answer. The error is a
// *fault.Error, with the outcome NotRun when no byte was written, else Unknown. Answers
// that are not proven to be the request's are passed over; if its own cannot be read then,
// the error is an ErrForeignAnswer.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil { // a pooled connection would still accept the request
		return nil, fault.NotRun(fault.StepDispatch, r.Address, fault.CodeUpstreamFailed, "not sent: %w", err)
	}
	if err := r.checkTarget(); err != nil {
		return nil, fault.NotRun(fault.StepDispatch, r.Address, fault.CodeUpstreamFailed, "not sent: %w", err)
	}
	l, err := c.connect(ctx, r)
	if err != nil {
		return nil, fault.NotRun(fault.StepDispatch, r.Address, fault.CodeUpstreamFailed, "connect: %w", err)
	}
	if r.StillWanted != nil && !r.StillWanted() {
		l.reset()
		return nil, fault.NotRun(fault.StepDispatch, r.Address, fault.CodeUpstreamFailed, "not sent: %w", ErrNoLongerWanted)
	}
	stop := context.AfterFunc(ctx, l.reset)
	l.sentHead = l.sentHead || r.Method == http.MethodHead
	req := r.httpRequest()
	resp, up, err := c.exchange(l, r, req)
	if err != nil {
		if l.reused && l.read == 0 {
			l.pool.recordDropped(l.idleBefore, c.cfg.MaxIdleTime)
		}
		stop()
		l.reset()
		switch {
		case ctx.Err() != nil:
			err = errors.Join(ctx.Err(), err)
		case !l.reused && l.read == 0:
			err = errors.Join(ErrNewConnectionEnded, err)
		}
		if l.written == 0 {
			return nil, fault.NotRun(fault.StepDispatch, r.Address, fault.CodeUpstreamFailed, "write request: %w", err)
		}
		return nil, fault.Unknown(fault.StepDispatch, r.Address, fault.CodeUpstreamFailed, "exchange: %w", err)
	}
	answer := &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength, Framing: framingOf(resp),
		Interim: l.interim, client: c, conn: l, upload: up, close: resp.Close || l.foreign, stop: stop}
	answer.deadline, _ = ctx.Deadline()
	if answer.Framing == ByConnection {
		answer.Body = connEndedBody{answer.Body, answer}
	}
	return answer, nil
}

// exchange writes req and reads the head of its answer. An upstream that
// refuses early may close its reading side, so the answer is read even if the
// write failed after some bytes.
func (c *Client) exchange(l *persistConn, r *Request, req *http.Request) (*http.Response, *upload, error) {
	if len(r.Body) > minConcurrentBody {
		return exchangeConcurrently(l, r, req)
	}
	bw := writerPool.Get().(*bufio.Writer)
	bw.Reset(l)
	err := r.write(bw, req)
	bw.Reset(nil)
	writerPool.Put(bw)
	if r.bodyReader != nil && r.bodyReader.err != nil {
		return nil, nil, &BodyError{r.bodyReader.err} // the upstream waits for the remainder and would never answer
	}
	if err != nil && l.written == 0 {
		return nil, nil, err
	}
	resp, readErr := l.readOwn(r, req)
	if readErr != nil {
		return nil, nil, errors.Join(err, readErr)
	}
	if err != nil {
		resp.Close = true
	}
	return resp, endedUpload(err), nil
}

// minConcurrentBody is the length of a body, in bytes, above which the answer is
// read while the body is still being written. An upstream may answer before it
// has read a long body and read on later; a write without a concurrent read would
// then wait for a TCP window that opens only after the answer was read.
const minConcurrentBody = 8 << 10

// exchangeConcurrently writes req while it reads the head of the answer. A
// connection whose answer arrives before the body is written is not reused: the
// upstream would read the next request as the remainder of this body.
func exchangeConcurrently(l *persistConn, r *Request, req *http.Request) (*http.Response, *upload, error) {
	up := startUpload(l, r, req)
	resp, err := l.readOwn(r, req)
	if err != nil {
		l.reset()
		<-up.ended
		return nil, nil, errors.Join(up.err, err)
	}
	resp.Close = resp.Close || up.State() != UploadWhole
	return resp, up, nil
}

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, readBufferSize) }}

func (r *Request) httpRequest() *http.Request {
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // otherwise net/http adds its own to every request
	}
	req := &http.Request{Method: r.Method, Host: r.Address, Header: r.Header,
		URL: &url.URL{Scheme: "http", Host: r.Address, Path: r.Path, RawQuery: r.Query}}
	if r.Host != "" {
		req.Host = r.Host
	}
	if r.Target != "" {
		req.URL = &url.URL{Opaque: targetPlaceholder}
	}
	switch {
	case r.Stream != nil:
		r.bodyReader = &bodyReader{r: r.Stream}
		req.Body, req.ContentLength = io.NopCloser(r.bodyReader), r.StreamLength
	case len(r.Body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body))
	}
	return req
}

func (c *Client) connect(ctx context.Context, r *Request) (*persistConn, error) {
	p := c.pool(r.Address)
	if again := p.recordSend(r.ID, time.Now()); !again && !r.NewConnection {
		if l := p.takeIdle(time.Now(), c.cfg.MaxIdleTime); l != nil {
			l.written, l.read, l.interim, l.reused = 0, 0, 0, true
			l.exchanges++
			return l, nil
		}
	}
	return p.dial(ctx, c.cfg.Dialer, c.cfg.DialTimeout)
}

func (c *Client) pool(address string) *pool {
	c.mu.RLock()
	p := c.pools[address]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.pools[address]; p == nil {
		p = &pool{address: address}
		c.pools[address] = p
	}
	return p
}

// Retire closes the idle connections to address, and those in use when their
// exchanges end. A middlebox that has lost its connection state drops what is
// sent on existing connections without an error; new connections are not affected.
func (c *Client) Retire(address string) { c.pool(address).retire() }

// HasIdleConnection reports whether an exchange with address could use a pooled connection.
func (c *Client) HasIdleConnection(address string) bool {
	c.mu.RLock()
	p := c.pools[address]
	c.mu.RUnlock()
	return p != nil && p.hasIdle(time.Now(), c.cfg.MaxIdleTime)
}

// Forget retires the connections to address and removes its pool. It is for
// addresses that are no longer in use.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.retire()
	}
}

// Close retires all pools.
func (c *Client) Close() {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range c.pools {
		p.retire()
	}
}

// WaitReadable blocks until bytes of the answer can be read or the connection has
// ended, which the next read of Body then reports. A reader therefore needs no
// buffer of its own while a stream waits for its next token. It must not be
// called after the end of the answer.
func (r *Response) WaitReadable() {
	_, _ = r.conn.br.Peek(1)
}

// Finish ends an exchange whose answer was read to its end; the connection
// returns to the pool if it can be reused. A request that is still being written is written
// to its end: the upstream has answered, and reads on.
func (r *Response) Finish() {
	if !r.ended.CompareAndSwap(false, true) {
		return
	}
	attached := r.stop()
	if attached && r.Upload() == UploadGoesOn {
		r.finishUpload()
		return
	}
	// Bytes after the answer belong to no request; on a reused connection they
	// would be read as the answer to the next request.
	if !attached || r.close || r.conn.br.Buffered() > 0 {
		_ = r.conn.nc.Close()
		return
	}
	if !r.readDeadline.IsZero() && r.conn.nc.SetReadDeadline(time.Time{}) != nil {
		_ = r.conn.nc.Close()
		return
	}
	r.conn.pool.put(r.conn, time.Now(), r.client.cfg, statedIdleTime(r.Header))
}

// Reused reports whether the exchange used a pooled connection.
func (r *Response) Reused() bool { return r.conn.reused }

// Use returns how the connection had been used when the exchange began.
func (r *Response) Use() ConnUse { return r.conn.use() }

// ConnUse is how a connection had been used when an exchange began on it.
type ConnUse struct {
	Exchanges int           // exchanges on it, with this one
	Idle      time.Duration // since the one before; 0 for the first
}

// statedIdleShare is the share of an upstream's stated idle time that is used: the
// remainder covers a request's transit time and the rounding to whole seconds.
const statedIdleShare = 0.8

// statedIdleTime returns how long an upstream keeps an idle connection according to
// its Keep-Alive header, less a margin; 0 if it does not say.
func statedIdleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			return time.Duration(float64(s) * statedIdleShare * float64(time.Second))
		}
	}
	return 0
}

// Abort ends an exchange whose answer was not read to its end. The connection is
// closed, since the unread bytes would be read as the answer to the next request.
// Abort may be called while another goroutine reads Body, which then fails.
func (r *Response) Abort() {
	if r.ended.CompareAndSwap(false, true) {
		r.stop()
		r.conn.reset()
	}
}
