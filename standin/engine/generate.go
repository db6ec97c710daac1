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
	bodyMax       = 16 << 20
	defaultTokens = 16
	bytesPerToken = 4 // of a prompt, about what tokenisers make of English
)

// request is what the engine reads of an OpenAI-compatible request.
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

// text is the prompt's text: a string, or the strings and parts of a list.
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
	_ = json.Unmarshal(raw, &part) // a part without text counts as none
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

// refusal is an answer given in place of work.
type refusal struct {
	status int
	header string // value of HeaderRefused; "" when nothing is promised
	text   string
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMax))
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
	reader, no := e.enqueue(a)
	if no != nil {
		e.refuse(w, *no)
		return
	}
	e.poke()
	if a.stream {
		e.stream(w, r, a, reader, 0)
		return
	}
	e.whole(w, r, a, reader)
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
		answer: answer.For(prompt, min(tokens, maxTokens)), prompt: len(prompt)/bytesPerToken + 1, done: make(chan struct{})}
	a.team, a.mark, _ = answer.FindMark([]byte(prompt))
	a.process = h.Get(engineapi.HeaderForIncarnation)
	a.class = class.Standard
	if n, err := strconv.Atoi(h.Get(engineapi.HeaderPriority)); err == nil && n >= 0 && n < class.Count {
		a.class = class.Class(n)
	}
	a.prefix, _ = strconv.ParseUint(h.Get(engineapi.HeaderPrefix), 16, 64) // absent or odd: no prefix
	return a
}

// enqueue takes the attempt in, or says why it does not.
func (e *Engine) enqueue(a *attempt) (chan struct{}, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, _ := e.attempts.Find(a.id); known != nil && known.done == nil {
		return nil, &refusal{http.StatusServiceUnavailable, engineapi.RefusedAttemptClosed, "attempt id is settled as not run"}
	} else if known != nil || e.attempts.WasDropped(a.id) {
		// No promise here: the first request under this id may be running.
		return nil, &refusal{status: http.StatusConflict, text: "attempt id was used before"}
	}
	no := e.admission(a)
	if no != nil {
		e.attempts.Add(a.id, &attempt{id: a.id, fate: fateRefused})
		return nil, no
	}
	e.attempts.Add(a.id, a)
	e.batch.waiting[a.class] = append(e.batch.waiting[a.class], a)
	return a.attach(), nil
}

func (e *Engine) admission(a *attempt) *refusal {
	res := e.serving(a.name)
	switch {
	case a.process != "" && a.process != e.incarnation:
		return &refusal{http.StatusServiceUnavailable, engineapi.RefusedRestarted, "attempt is meant for a former process"}
	case e.leaving:
		return &refusal{http.StatusServiceUnavailable, engineapi.RefusedDraining, "engine is leaving"}
	case res == nil:
		return &refusal{http.StatusServiceUnavailable, engineapi.RefusedNotLoaded, "model is not loaded"}
	case e.batch.waitingCount() >= e.cfg.MaxQueue:
		return &refusal{http.StatusTooManyRequests, engineapi.RefusedQueueFull, "queue is full"}
	}
	a.key, a.on = res.key, res
	res.users++
	return nil
}

func (e *Engine) refuse(w http.ResponseWriter, no refusal) {
	e.stamp(w.Header())
	if no.header != "" {
		w.Header().Set(engineapi.HeaderRefused, no.header)
	}
	writeJSON(w, no.status, map[string]any{"error": map[string]any{"message": no.text, "type": "engine_error", "code": no.header}})
}

// whole answers in one piece when the attempt has ended.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, a *attempt, reader chan struct{}) {
	select {
	case <-a.done:
	case <-r.Context().Done():
		e.abandon(a, reader)
		return
	}
	if _, f := a.position(); f != fateCompleted {
		panic(http.ErrAbortHandler) // cancelled or died: the connection breaks, as it would with a real engine
	}
	from := e.crossed(a)
	e.stamp(w.Header())
	w.Header().Set(engineapi.HeaderAttempt, from.id)
	body := from.wholeBody()
	w.Header().Set("Content-Type", jsonType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// abandon starts the clock of an attempt whose caller's connection is gone.
func (e *Engine) abandon(a *attempt, reader chan struct{}) {
	a.detach(reader, e.cfg.ResumeWindow, func() { e.cancel(a) })
}

func (e *Engine) cancel(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finish(a, fateCancelled)
}

// finish settles an attempt and writes its record. The caller holds mu.
func (e *Engine) finish(a *attempt, f fate) {
	if a.done == nil || !a.end(f) {
		return
	}
	if a.started.IsZero() {
		e.batch.remove(a)
	}
	a.on.users--
	e.settleModel(a.key.Model)
	e.records.addExecution(a, e.incarnation, e.cfg.MaxRecords)
}

const jsonType = "application/json"

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller is gone; nobody to tell
}
