package rest

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"peridotpier.example/node/answerhead"
	"peridotpier.example/node/store"
)

// Defaults of a client.
const (
	defaultTimeout = 2 * time.Second // of one call; the services answer within tens of milliseconds
	maxAnswerBytes = 64 << 20        // bytes; above the largest object that the system stores
	maxIdleConns   = 16              // per service; above the number of calls that one host has open at a time
	idleTimeout    = 30 * time.Second
)

// Config gives the address of one platform service, or of all of them.
type Config struct {
	BaseURL string        // "http://IP:port" or "https://IP:port"
	Timeout time.Duration // of one call; 0: 2 s
	TLS     *tls.Config   // for https; nil: the system's root certificates
}

// Client calls the platform's services. It implements store.Table,
// store.Hosts and store.Weights; Objects returns the object store.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	// Eras keeps the eras of the table service.
	Eras store.Eras
}

var (
	_ store.Table   = (*Client)(nil)
	_ store.Hosts   = (*Client)(nil)
	_ store.Weights = (*Client)(nil)
	_ store.Objects = Objects{}
)

// New returns a client. The caller must call Close when it no longer needs the
// client.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	tr := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout,
		TLSClientConfig: cfg.TLS}
	return &Client{base: cfg.BaseURL, timeout: cfg.Timeout, http: &http.Client{Transport: tr,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Commit implements store.Table.
func (c *Client) Commit(ctx context.Context, t store.Txn) (uint64, error) {
	if err := store.CheckConds(t.Conds, c.Eras.Newest()); err != nil {
		return 0, err
	}
	var a CommitAnswer
	err := c.post(ctx, PathCommit, store.ErrUnconfirmed, t, &a)
	return a.Version, err
}

// Get implements store.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	var a Rows
	err := c.post(ctx, PathGet, store.ErrUnavailable, GetRequest{Keys: keys}, &a)
	return a.Rows, err
}

// List implements store.Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	var a Rows
	err := c.post(ctx, PathList, store.ErrUnavailable, ListRequest{Prefix: prefix, After: after, Limit: limit}, &a)
	return a.Rows, err
}

// Hosts implements store.Hosts.
func (c *Client) Hosts(ctx context.Context) ([]store.Host, error) {
	var a HostList
	err := c.call(ctx, request{method: http.MethodGet, path: PathHosts, errIfLost: store.ErrUnavailable}, decode(&a))
	return a.Hosts, err
}

// AcquireLoad implements store.Weights.
func (c *Client) AcquireLoad(ctx context.Context, load string) (time.Duration, error) {
	var a Grant
	err := c.post(ctx, PathGrant, store.ErrUnconfirmed, LoadRequest{Load: load}, &a)
	return time.Duration(a.WaitMs) * time.Millisecond, err
}

// ReleaseLoad implements store.Weights.
func (c *Client) ReleaseLoad(ctx context.Context, load string) error {
	return c.post(ctx, PathDone, store.ErrUnconfirmed, LoadRequest{Load: load}, &struct{}{})
}

// Objects is the object store of a client.
type Objects struct{ c *Client }

// Objects returns the object store at the client's address.
func (c *Client) Objects() Objects { return Objects{c} }

// Put implements store.Objects.
func (o Objects) Put(ctx context.Context, name string, data []byte) error {
	r := request{method: http.MethodPut, path: PathObject + url.PathEscape(name), body: data, errIfLost: store.ErrUnconfirmed}
	return o.c.call(ctx, r, decode(&struct{}{}))
}

// Get implements store.Objects.
func (o Objects) Get(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	r := request{method: http.MethodGet, path: PathObject + url.PathEscape(name), errIfLost: store.ErrUnavailable, rawBody: true}
	err := o.c.call(ctx, r, func(b []byte) error { data = b; return nil })
	return data, err
}

// List implements store.Objects.
func (o Objects) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var a Names
	r := request{method: http.MethodGet, path: PathObjects + "?" + q.Encode(), errIfLost: store.ErrUnavailable}
	err := o.c.call(ctx, r, decode(&a))
	return a.Names, err
}

// request describes one call. errIfLost is the error to return when the answer is
// lost; it is ErrUnconfirmed for calls that change state. rawBody means that the bytes of
// the answer do not tell where it ends, as those of JSON do.
type request struct {
	method, path string
	body         []byte
	errIfLost    error
	rawBody      bool
}

// ErrNoEnd means that an object came without a length or chunks, so that nothing tells it
// from a truncated one.
var ErrNoEnd = errors.New("object ends with its connection")

// ErrAnswerTooLarge means that an answer has more than maxAnswerBytes, so that it was not
// read to its end.
var ErrAnswerTooLarge = errors.New("answer is larger than 64 MiB")

// errEncoded means that an object came in a content coding, which was not asked for.
var errEncoded = errors.New("object is encoded")

// identity is the content coding of a body that is sent as it is.
const identity = "identity"

// checkRaw returns an error unless the answer states where its raw body ends. HTTP/2
// always does.
func checkRaw(resp *http.Response) error {
	if coding := resp.Header.Get("Content-Encoding"); coding != "" && coding != identity {
		return errEncoded
	}
	if resp.ProtoMajor < 2 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return ErrNoEnd
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, errIfLost error, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	return c.call(ctx, request{method: http.MethodPost, path: path, body: body, errIfLost: errIfLost}, decode(out))
}

func decode(out any) func([]byte) error {
	return func(b []byte) error { return json.Unmarshal(b, out) }
}

// call sends one request and classifies its failure. A call that never got a
// connection had no effect: its error is ErrUnavailable. From then on every
// failure that the service did not report itself is r.errIfLost: bytes may have
// reached the service even if the write failed on this side. If that counted as
// "nothing took effect", a caller could repeat the operation under a new id, and
// it would take effect twice.
func (c *Client) call(ctx context.Context, r request, accept func([]byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if r.rawBody {
		req.Header.Set("Accept-Encoding", identity) // a body that net/http decompresses has no length
	}
	status, header, body, err := c.do(req, r.rawBody)
	if err != nil {
		// A device on the path may have lost the state of all open connections
		// while new ones work. Each idle connection would cost another call its
		// whole timeout, one after the other, so the first failure closes all.
		c.http.CloseIdleConnections()
		if connected.Load() {
			return fmt.Errorf("%w: %w", r.errIfLost, err)
		}
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if era, newest := c.observeEra(header); era < newest {
		return fmt.Errorf("%w: answer of era %d after one of era %d", r.errIfLost, era, newest)
	}
	if status == http.StatusOK {
		if err := accept(body); err != nil {
			return fmt.Errorf("%w: %w", r.errIfLost, err)
		}
		return nil
	}
	var p Problem
	if json.Unmarshal(body, &p) == nil {
		if err, ok := p.err(); ok {
			return err
		}
	}
	return fmt.Errorf("%w: status %d", r.errIfLost, status)
}

// observeEra records the era of an answer and returns it, and the newest one seen. The
// other services' answers have none.
func (c *Client) observeEra(h http.Header) (era, newest uint64) {
	era, err := strconv.ParseUint(h.Get(HeaderEra), 10, 64)
	if err != nil {
		return 0, 0
	}
	return era, c.Eras.Observe(era)
}

func (c *Client) do(req *http.Request, rawBody bool) (status int, header http.Header, body []byte, err error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := answerhead.CheckParsed(resp); err != nil {
		return 0, nil, nil, err
	}
	if rawBody && resp.StatusCode == http.StatusOK {
		if err := checkRaw(resp); err != nil {
			return 0, nil, nil, err
		}
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		return 0, nil, nil, ErrAnswerTooLarge
	}
	return resp.StatusCode, resp.Header, body, err
}
