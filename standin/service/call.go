package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/answer"
)

// call is one call under its attempt id. Its fields are guarded by Service.mu.
type call struct {
	id             string
	forIncarnation string                 // incarnation that may run it; "": any
	incarnationCtx context.Context        // of the incarnation that accepted it
	slots          chan struct{}          // slots of that incarnation
	onAnswer       func([]byte)           // returned by Config.OnExecution; nil: none
	state          engineapi.AttemptState // AttemptUnseen: it must never run
	body           []byte                 // answer of a completed call
	cancel         context.CancelFunc     // set while the call waits
}

// Answer is the body of a service's answer.
type Answer struct {
	Service    string `json:"service"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Team       string `json:"team"` // team and invocation come from the mark of the call
	Invocation string `json:"invocation"`
	Digest     string `json:"digest"` // of the body of the call
}

// Digest returns the digest of a body as an Answer states it.
func Digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(engineapi.HeaderAttempt)
	if id == "" {
		id = uuid.NewString()
	}
	w.Header().Set(engineapi.HeaderAttempt, id)
	if s.faults.consume(&s.faults.loseRequests) {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, http.StatusBadRequest, "", "malformed body: "+err.Error())
		return
	}
	c := &call{id: id, forIncarnation: r.Header.Get(engineapi.HeaderForIncarnation), state: engineapi.AttemptRunning}
	ctx, status, header := s.admit(c)
	if status != 0 {
		s.refuse(w, status, header, "call was not taken")
		return
	}
	if !s.execute(ctx, c, r, body) {
		panic(http.ErrAbortHandler) // cancelled, or the process ended
	}
	s.reply(w, c)
}

// admit accepts a call, or returns the status and the value of HeaderRefused with
// which it is refused.
func (s *Service) admit(c *call) (ctx context.Context, status int, header string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.attempts.Find(c.id)
	switch {
	case found && (known.state == engineapi.AttemptUnseen || known.state == engineapi.AttemptRefused):
		return nil, http.StatusServiceUnavailable, engineapi.RefusedAttemptClosed
	case found || s.attempts.WasDropped(c.id):
		return nil, http.StatusConflict, "" // the first call under this id may be running
	case c.forIncarnation != "" && c.forIncarnation != s.incarnation:
		status, header = http.StatusServiceUnavailable, engineapi.RefusedRestarted
	case s.draining:
		status, header = http.StatusServiceUnavailable, engineapi.RefusedDraining
	case s.waiting >= s.cfg.MaxQueue:
		status, header = http.StatusTooManyRequests, engineapi.RefusedQueueFull
	}
	s.attempts.Add(c.id, c)
	if status != 0 {
		c.state = engineapi.AttemptRefused
		return nil, status, header
	}
	s.waiting++
	c.incarnationCtx, c.slots = s.incarnationCtx, s.slots
	ctx, c.cancel = context.WithCancel(s.incarnationCtx)
	return ctx, 0, ""
}

// execute waits for a slot and runs the call. It continues after the caller has
// disconnected, as a plain service does. It returns false when the call was
// cancelled or the incarnation ended.
func (s *Service) execute(ctx context.Context, c *call, r *http.Request, body []byte) bool {
	slots, incarnationCtx := c.slots, c.incarnationCtx // of the incarnation that accepted it, which may have ended since
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		s.cancelWaiting(c, incarnationCtx)
		return false
	}
	defer func() { <-slots }()
	index, ok := s.begin(c, r, body, incarnationCtx)
	if !ok {
		return false
	}
	timer := time.NewTimer(s.duration(r.Method, strings.TrimPrefix(r.URL.Path, strings.TrimSuffix(engineapi.PathService, "/"))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-incarnationCtx.Done():
		return false
	}
	return s.complete(c, r, body, index, incarnationCtx)
}

func (s *Service) cancelWaiting(c *call, incarnationCtx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.state = engineapi.AttemptCancelled
	c.cancel()
	if incarnationCtx == s.incarnationCtx {
		s.waiting--
	}
}

// begin records that the call runs, unless it was cancelled while it waited. index
// is that of its record; -1: the records are full.
func (s *Service) begin(c *call, r *http.Request, body []byte, incarnationCtx context.Context) (index int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnationCtx != s.incarnationCtx || incarnationCtx.Err() != nil {
		return 0, false
	}
	s.waiting--
	if c.state != engineapi.AttemptRunning {
		return 0, false
	}
	c.cancel() // it no longer waits
	c.cancel = nil
	s.running++
	team, invocation := findMark(r, body)
	e := Execution{Attempt: c.id, Incarnation: s.incarnation, ForIncarnation: c.forIncarnation, IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Team: team, Invocation: invocation, Method: r.Method, Path: r.URL.Path, Tag: r.Header.Get("Accept-Language"), Started: time.Now()}
	if s.cfg.OnExecution != nil {
		c.onAnswer = s.cfg.OnExecution(e)
	}
	if len(s.executions) >= s.cfg.MaxRecords {
		s.droppedRecords++
		return -1, true
	}
	s.executions = append(s.executions, e)
	return len(s.executions) - 1, true
}

func findMark(r *http.Request, body []byte) (team, invocation string) {
	team, invocation, ok := answer.FindMark(body)
	if !ok {
		team, invocation, _ = answer.FindMark([]byte(r.URL.RawQuery))
	}
	return team, invocation
}

func (s *Service) complete(c *call, r *http.Request, body []byte, index int, incarnationCtx context.Context) bool {
	team, invocation := findMark(r, body)
	out, _ := json.Marshal(Answer{Service: s.cfg.Name, Method: r.Method, Path: r.URL.Path, Team: team, Invocation: invocation, Digest: Digest(body)})
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnationCtx != s.incarnationCtx {
		return false
	}
	s.running--
	c.state, c.body = engineapi.AttemptCompleted, out
	if c.onAnswer != nil {
		c.onAnswer(out)
	}
	if index >= 0 {
		s.executions[index].Ended, s.executions[index].AnswerDigest = time.Now(), xxhash.Sum64(out)
	}
	return true
}

func (s *Service) reply(w http.ResponseWriter, c *call) {
	if s.faults.consume(&s.faults.loseAnswers) {
		panic(http.ErrAbortHandler)
	}
	source := s.answerSource(c)
	s.setHeaders(w.Header())
	w.Header().Set(engineapi.HeaderAttempt, source.id)
	if raw := s.rawAnswer(); raw != nil {
		raw.write(w)
		return
	}
	w.Header().Set("Content-Type", jsonType)
	w.Header().Set("Content-Length", strconv.Itoa(len(source.body)))
	out := source.body
	cut := s.faults.consume(&s.faults.cutByClose)
	if cut || s.faults.consume(&s.faults.endByClose) {
		w.Header().Del("Content-Length")
		w.Header().Set("Transfer-Encoding", "identity") // net/http then ends the answer by closing the connection
	}
	if cut {
		out = out[:len(out)/2]
	}
	if s.faults.consume(&s.faults.cutAnswers) {
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}

func (a *RawAnswer) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", a.ContentType)
	if a.ByClose {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then ends the answer by closing the connection
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	_, _ = io.WriteString(w, a.Body)
}

func (s *Service) refuse(w http.ResponseWriter, status int, header, text string) {
	s.setHeaders(w.Header())
	if header != "" {
		w.Header().Set(engineapi.HeaderRefused, header)
	}
	writeJSON(w, status, map[string]string{"error": text})
}

// serveOutcome answers with the outcome of a call, and cancels a call that still
// waits when cancel is set. A call that is not known must not run after it was
// reported as unseen.
func (s *Service) serveOutcome(w http.ResponseWriter, r *http.Request, cancel bool) {
	id := r.PathValue("id")
	s.mu.Lock()
	c, ok := s.attempts.FindOrAdd(id, &call{id: id, state: engineapi.AttemptUnseen})
	var d engineapi.Attempt
	if ok {
		if cancel && c.cancel != nil {
			c.state = engineapi.AttemptCancelled
			c.cancel()
		}
		d = engineapi.Attempt{ID: id, State: c.state, Incarnation: s.incarnation}
	}
	if d.State == engineapi.AttemptCompleted {
		d.Status, d.ContentType, d.Body = http.StatusOK, jsonType, c.body
	}
	s.mu.Unlock()
	s.setHeaders(w.Header())
	if !ok {
		writeJSON(w, http.StatusGone, map[string]string{"error": "attempt is no longer known"})
		return
	}
	writeJSON(w, http.StatusOK, d)
}

const jsonType = "application/json"

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller has disconnected; the error concerns nobody
}
