package callerapi

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"path"
	"strings"

	"peridotpier.example/core/fault"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/upstream/conn"
	"peridotpier.example/node/upstream/engineapi"
)

// forwardedHeaders are the headers of a caller that are forwarded to plain
// services. The team's key and headers about the connection are not among them. The
// idempotency key is forwarded so that the service can use it as a safeguard too.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "If-None-Match", "If-Modified-Since", HeaderIdempotencyKey}

// service forwards a call to a plain service.
func (a *API) service(c *call) error {
	opts, err := a.parseOptions(c)
	if err != nil {
		return err
	}
	name := c.Param("service")
	s, ok := c.state.Index.Service(c.team.Name, name)
	if !ok {
		return fault.NotRun(fault.StepParse, "", fault.CodeNotFound, "there is no service %q for your team", name)
	}
	r := c.Request()
	path, err := servicePath(r.URL, name)
	if err != nil {
		return err
	}
	w := &dispatch.Work{RequestID: c.id, Team: c.team.Name, Class: opts.class, Pool: s.Pool, PlainService: true,
		Method: r.Method, Path: strings.TrimSuffix(engineapi.PathService, "/") + path, Query: r.URL.RawQuery,
		Header: forwardHeaders(r.Header), Deadline: opts.deadline, Repeatable: s.Repeatable(r.Method, path)}
	w.Header.Set(engineapi.HeaderTeam, c.team.Name)
	if !w.Repeatable && opts.key == "" {
		return fault.NotRun(fault.StepParse, "", fault.CodeIdempotencyKeyRequired, "%s %s may not be repeated: send an %s", r.Method, path, HeaderIdempotencyKey)
	}
	if err := a.attachBody(c, w); err != nil {
		return err
	}
	if !w.Repeatable {
		a.requireClaim(c, w, opts.key, w.Body)
	}
	return attributeBodyError(a.serve(c, w, name), c.state.Index.Limits.BodyBytes)
}

// servicePath returns the path below a service. It must be in its shortest form:
// an upstream that shortens "/service/../engine/v1/attempts/ID" itself would
// show one team's stored answer to another, and one that shortens "/x/../notes"
// would run twice a request that a rule for "/notes" says may not be repeated.
func servicePath(u *url.URL, service string) (string, error) {
	p := "/" + strings.TrimPrefix(strings.TrimPrefix(u.Path, "/v1/services/"+service), "/")
	short := path.Clean(p)
	if strings.HasSuffix(p, "/") && short != "/" {
		short += "/"
	}
	if p != short || strings.ContainsAny(p, "\\\x00") {
		return "", fault.NotRun(fault.StepParse, "", fault.CodeBadRequest, "the path below the service has empty or dot segments, or a backslash")
	}
	return p, nil
}

// attributeBodyError returns err as a fault of the caller if reading the caller's
// body failed, with the same outcome; other errors are returned unchanged.
func attributeBodyError(err error, maxBytes int64) error {
	var tooBig *http.MaxBytesError
	var body *conn.BodyError
	if !errors.As(err, &body) {
		return err
	}
	f := &fault.Error{Step: fault.StepParse, Peer: callerPeer, Code: fault.CodeBadRequest,
		Outcome: fault.From(fault.StepParse, err).Outcome, Err: fmt.Errorf("read body: %w", body.Err)}
	if errors.As(err, &tooBig) {
		f.Code, f.Err = fault.CodeRequestTooLarge, fmt.Errorf("body is larger than %d bytes", maxBytes)
	}
	return f
}

// attachBody adds the body of a call to w. A small body, or any body of a request
// that may not be repeated, is buffered; others are streamed, limited in size.
func (a *API) attachBody(c *call, w *dispatch.Work) error {
	r, maxBytes := c.Request(), c.state.Index.Limits.BodyBytes
	if r.ContentLength > maxBytes {
		return tooLarge(maxBytes)
	}
	if w.Repeatable && (r.ContentLength < 0 || r.ContentLength > maxBufferedBody) {
		setReadDeadline(c.Response(), w.Deadline)
		w.BodyStream, w.BodyLength = http.MaxBytesReader(c.Response(), r.Body, maxBytes), r.ContentLength
		return nil
	}
	body, err := readBody(c, maxBytes)
	w.Body = body
	return err
}

func forwardHeaders(from http.Header) http.Header {
	h := http.Header{}
	for _, k := range forwardedHeaders {
		if v, ok := from[k]; ok {
			h[k] = v
		}
	}
	return h
}
