package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"peridotpier.example/core/class"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/answer"
)

const (
	maxBodyBytes  = 16 << 20
	defaultTokens = 16
	bytesPerToken = 4 // of a prompt; about the ratio of tokenisers for English text
)

// request holds the fields of an OpenAI-compatible request that the engine reads.
type request struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

type message struct {
	Content json.RawMessage `json:"content"`
}

// text returns the text of a prompt: a string, or the concatenated strings and
// parts of a list.
func text(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) == nil {
		var b strings.Builder
		for _, item := range list {
			b.WriteString(text(item))
		}
		return b.String()
	}
	var part struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(raw, &part) // a part without text adds nothing
	return part.Text
}

func (q *request) promptText() string {
	if q.Messages == nil {
		return text(q.Prompt)
	}
	var b strings.Builder
	for _, m := range q.Messages {
		b.WriteString(text(m.Content))
	}
	return b.String()
}

// refusal is the answer to a request that is not accepted.
type refusal struct {
	status int
	header string // value of HeaderRefused; "": no statement on whether the request ran
	text   string
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var q request
	if err == nil {
		err = json.Unmarshal(body, &q)
	}
	id := r.Header.Get(engineapi.HeaderAttempt)
	if id == "" {
		id = uuid.NewString()
	}
	w.Header().Set(engineapi.HeaderAttempt, id)
	if err != nil {
		e.refuse(w, refusal{status: http.StatusBadRequest, text: "malformed request: " + err.Error()})
		return
	}
	a := newAttempt(id, &q, r.Header, chat, e.cfg.MaxTokens)
	reader, refused := e.enqueue(a)
	if refused != nil {
		e.refuse(w, *refused)
		return
	}
	e.wakeStepLoop()
	if a.stream {
		e.stream(w, r, a, reader, 0)
		return
	}
	e.serveComplete(w, r, a, reader)
}

func newAttempt(id string, q *request, h http.Header, chat bool, maxTokens int) *attempt {
	tokens := q.MaxTokens
	if q.MaxCompletionTokens > 0 {
		tokens = q.MaxCompletionTokens
	}
	if tokens <= 0 {
		tokens = defaultTokens
	}
	prompt := q.promptText()
	a := &attempt{id: id, name: q.Model, chat: chat, stream: q.Stream, arrived: time.Now(),
		answer: answer.For(prompt, min(tokens, maxTokens)), promptTokens: len(prompt)/bytesPerToken + 1, done: make(chan struct{})}
	a.team, a.invocation, _ = answer.FindMark([]byte(prompt))
	a.forIncarnation = h.Get(engineapi.HeaderForIncarnation)
	a.class = class.Standard
	if n, err := strconv.Atoi(h.Get(engineapi.HeaderPriority)); err == nil && n >= 0 && n < class.Count {
		a.class = class.Class(n)
	}
	a.prefix, _ = strconv.ParseUint(h.Get(engineapi.HeaderPrefix), 16, 64) // missing or malformed: no prefix
	return a
}

// enqueue accepts the attempt and attaches its reader, or returns why the attempt
// is refused.
func (e *Engine) enqueue(a *attempt) (chan struct{}, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, _ := e.attempts.Find(a.id); known != nil && known.done == nil {
		return nil, &refusal{http.StatusServiceUnavailable, engineapi.RefusedAttemptClosed, "attempt id is settled as not run"}
	} else if known != nil || e.attempts.WasDropped(a.id) {
		// Without HeaderRefused: the first request under this id may be running.
		return nil, &refusal{status: http.StatusConflict, text: "attempt id was used before"}
	}
	refused := e.admit(a)
	if refused != nil {
		e.attempts.Add(a.id, &attempt{id: a.id, outcome: outcomeRefused})
		return nil, refused
	}
	e.attempts.Add(a.id, a)
	e.batch.waiting[a.class] = append(e.batch.waiting[a.class], a)
	return a.attach(), nil
}

func (e *Engine) admit(a *attempt) *refusal {
	res := e.findServing(a.name)
	switch {
	case a.forIncarnation != "" && a.forIncarnation != e.incarnation:
		return &refusal{http.StatusServiceUnavailable, engineapi.RefusedRestarted, "attempt is meant for a former process"}
	case e.draining:
		return &refusal{http.StatusServiceUnavailable, engineapi.RefusedDraining, "engine is leaving"}
	case res == nil:
		return &refusal{http.StatusServiceUnavailable, engineapi.RefusedNotLoaded, "model is not loaded"}
	case e.batch.waitingCount() >= e.cfg.MaxQueue:
		return &refusal{http.StatusTooManyRequests, engineapi.RefusedQueueFull, "queue is full"}
	}
	a.key, a.resident = res.key, res
	res.users++
	return nil
}

func (e *Engine) refuse(w http.ResponseWriter, refused refusal) {
	e.setHeaders(w.Header())
	if refused.header != "" {
		w.Header().Set(engineapi.HeaderRefused, refused.header)
	}
	writeJSON(w, refused.status, map[string]any{"error": map[string]any{"message": refused.text, "type": "engine_error", "code": refused.header}})
}

// serveComplete sends the complete answer once the attempt has ended.
func (e *Engine) serveComplete(w http.ResponseWriter, r *http.Request, a *attempt, reader chan struct{}) {
	select {
	case <-a.done:
	case <-r.Context().Done():
		e.abandon(a, reader)
		return
	}
	if _, o := a.position(); o != outcomeCompleted {
		panic(http.ErrAbortHandler) // cancelled or terminated: the connection breaks, as with a real engine
	}
	source := e.answerSource(a)
	e.setHeaders(w.Header())
	w.Header().Set(engineapi.HeaderAttempt, source.id)
	body := source.completeBody()
	w.Header().Set("Content-Type", jsonType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// abandon starts the resume window of an attempt whose connection is closed.
func (e *Engine) abandon(a *attempt, reader chan struct{}) {
	a.detach(reader, e.cfg.ResumeWindow, func() { e.cancel(a) })
}

func (e *Engine) cancel(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finish(a, outcomeCancelled)
}

// finish ends an attempt and adds its record. The caller holds mu.
func (e *Engine) finish(a *attempt, o outcome) {
	if a.done == nil || !a.end(o) {
		return
	}
	if a.started.IsZero() {
		e.batch.remove(a)
	}
	a.resident.users--
	e.freeIdleOfModel(a.key.Model)
	e.records.addExecution(a, e.incarnation, e.cfg.MaxRecords)
}

const jsonType = "application/json"

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller has disconnected; the error concerns nobody
}
