package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/standin/answer"
	"peridotpier.example/standin/service"
)

// Headers and paths of the callers' interface.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerClass          = "Peridot-Class"
	headerDeadline       = "Peridot-Deadline-Ms"
	headerResume         = "Peridot-Resume"
	headerLastEventID    = "Last-Event-ID"
	pathChat             = "/v1/chat/completions"
	pathService          = "/v1/services/"
	pathRequests         = "/v1/requests/"
)

// Bounds of one caller.
const (
	maxTries          = 6                      // requests for one invocation
	maxTriesWhileLost = 60                     // requests for one invocation while the last try ended without an outcome
	retryPause        = 100 * time.Millisecond // when there is no Retry-After
	maxRetryPause     = 2 * time.Second        // maximum wait on Retry-After, since callers have deadlines
	maxAnswerBytes    = 32 << 20
	// streamIdleAfter distinguishes a slow stream from an idle one when a caller
	// gives up: a stream with a token within this time was abandoned by the
	// caller, otherwise it was truncated.
	streamIdleAfter = 2 * time.Second
)

// problem is an error body of the callers' interface.
type problem struct {
	Message string          `json:"message"`
	Code    string          `json:"code"`
	Outcome outcome.Outcome `json:"outcome"`
}

type errorBody struct {
	Error *problem `json:"error"`
}

// caller carries out one invocation.
type caller struct {
	client      *http.Client
	entries     EntryBalancer
	inv         *Invocation
	text        []byte // of the answer so far
	prompt      string
	body        []byte // of a service call: sent, and compared with the answer
	lastEventID string // id of the last event received
	resumeToken string // of a stream that began
	ended       bool   // the end marker or the complete body was received
	lastTokenAt time.Time
}

func (c *caller) run(ctx context.Context) {
	v := c.inv
	src := v.Arrival.Source
	c.prompt = v.Arrival.Prompt()
	if src.Kind == KindOnce {
		v.Key = "k-" + v.Arrival.ID
	}
	v.Started = time.Now()
	for n := 0; n < maxTries || n < maxTriesWhileLost && v.lastTryLost() && len(c.text) == 0; n++ {
		wait, again := c.try(ctx)
		if !again || !sleep(ctx, wait) {
			break
		}
	}
	v.Returned = time.Now()
	v.Total = v.Returned.Sub(v.Intended)
	c.setVerdict(ctx)
}

// try sends one request. It returns whether to send another one, and after what
// wait.
func (c *caller) try(ctx context.Context) (wait time.Duration, again bool) {
	req, resumed, err := c.request(ctx)
	t := Try{Sent: time.Now(), Resumed: resumed}
	defer func() {
		t.Returned = time.Now()
		c.inv.Tries = append(c.inv.Tries, t)
	}()
	if err != nil {
		t.Lost = true // there is no entry host to send it to
		return retryPause, true
	}
	t.EntryHost = req.URL.Host
	resp, err := c.client.Do(req)
	if err != nil {
		t.Lost = true
		return retryPause, true
	}
	defer resp.Body.Close()
	t.Status, c.inv.Status = resp.StatusCode, resp.StatusCode
	if resp.StatusCode/100 != 2 {
		return c.readRefusal(resp, &t)
	}
	p, err := c.read(resp)
	switch {
	case p != nil:
		t.Code, t.Outcome = p.Code, p.Outcome
		return 0, false
	case err != nil || !c.ended:
		t.Lost = true
		// A new request after part of an answer would hide that it was truncated.
		return 0, c.resumeToken != "" || len(c.text) == 0
	}
	t.Outcome = outcome.Completed
	return 0, false
}

// readRefusal reads an error answer. A call that may not be repeated is sent again
// under the same idempotency key, which returns its outcome or runs it for the
// first time.
func (c *caller) readRefusal(resp *http.Response, t *Try) (wait time.Duration, again bool) {
	var e errorBody
	err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&e)
	if err != nil || e.Error == nil {
		t.Lost = true
		return retryPause, true
	}
	t.Code, t.Outcome = e.Error.Code, e.Error.Outcome
	wait = retryPause
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		wait = min(time.Duration(s)*time.Second, maxRetryPause)
	}
	transient := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode >= 500 || t.Code == string(fault.CodeInProgress)
	draining := t.Code == string(fault.CodeDraining) && t.Outcome == outcome.NotRun
	return wait, (c.inv.Key != "" && transient) || draining
}

func (c *caller) request(ctx context.Context) (req *http.Request, resumed bool, err error) {
	last := ""
	if n := len(c.inv.Tries); n > 0 {
		last = c.inv.Tries[n-1].EntryHost
	}
	host, err := c.entries.Next(last)
	if err != nil {
		return nil, false, err
	}
	src := c.inv.Arrival.Source
	switch {
	case c.resumeToken != "":
		resumed = true
		req, err = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+pathRequests+c.resumeToken+"/stream", nil)
	case (src.Kind == KindService || src.Kind == KindOnce) && src.Method == http.MethodGet:
		mark := answer.Mark(src.Team, c.inv.Arrival.ID)
		req, err = http.NewRequestWithContext(ctx, src.Method, "http://"+host+pathService+src.Service+src.Path+"?m="+mark, nil)
	case src.Kind == KindService || src.Kind == KindOnce:
		c.body = []byte(c.prompt)
		req, err = http.NewRequestWithContext(ctx, src.Method, "http://"+host+pathService+src.Service+src.Path, bytes.NewReader(c.body))
	default:
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+pathChat, bytes.NewReader(c.chatBody()))
	}
	if err != nil {
		return nil, resumed, err
	}
	// Without GetBody the client library can't send a request twice by itself,
	// which it does under an idempotency key: the record would miss a try.
	req.GetBody = nil
	c.setHeaders(req)
	return req, resumed, nil
}

func (c *caller) setHeaders(req *http.Request) {
	src := c.inv.Arrival.Source
	req.Header.Set("Authorization", "Bearer "+src.APIKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerClass, src.Class.String())
	left := src.Deadline - time.Since(c.inv.Intended)
	req.Header.Set(headerDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if c.inv.Key != "" {
		req.Header.Set(headerIdempotencyKey, c.inv.Key)
	}
	if c.resumeToken != "" && c.lastEventID != "" {
		req.Header.Set(headerLastEventID, c.lastEventID)
	}
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

func (c *caller) chatBody() []byte {
	a := &c.inv.Arrival
	body, _ := json.Marshal(chatRequest{Model: a.Source.Model, Messages: []chatMessage{{"user", c.prompt}},
		MaxTokens: a.Tokens, Stream: a.Source.Kind == KindStream}) // encoding strings and numbers cannot fail
	return body
}

// setVerdict sets the verdict and the final outcome of the invocation.
func (c *caller) setVerdict(ctx context.Context) {
	v := c.inv
	if n := len(v.Tries); n > 0 {
		v.Code, v.Outcome = v.Tries[n-1].Code, v.Tries[n-1].Outcome
	}
	v.Digest = xxhash.Sum64(c.text)
	src := v.Arrival.Source
	if src.Kind == KindService || src.Kind == KindOnce {
		v.Verdict = c.serviceVerdict()
		return
	}
	switch err := answer.Verify(c.prompt, v.Arrival.Tokens, string(c.text)); {
	case len(c.text) == 0 && !c.ended:
		v.Verdict = VerdictNone
	case err == nil && c.ended:
		v.Verdict = VerdictComplete
	case err == answer.ErrMismatched:
		v.Verdict = VerdictMismatched
	case !c.ended && ctx.Err() != nil && time.Since(c.lastTokenAt) < streamIdleAfter:
		v.Verdict = VerdictAbandoned
	case c.ended || v.Tries[len(v.Tries)-1].Lost:
		v.Verdict = VerdictTruncated
	}
}

// serviceVerdict checks the answer of a service against the mark and body of the
// call.
func (c *caller) serviceVerdict() Verdict {
	if !c.ended {
		return VerdictNone
	}
	a := c.inv.Arrival
	var got service.Answer
	if json.Unmarshal(c.text, &got) != nil {
		return VerdictTruncated
	}
	if got.Team != a.Source.Team || got.Invocation != a.ID || got.Digest != service.Digest(c.body) {
		return VerdictMismatched
	}
	return VerdictComplete
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
