package engine_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/answer"
	"peridotpier.example/standin/engine"
)

func start(t testing.TB, cfg engine.Config) *engine.Engine {
	t.Helper()
	cfg.Name = "e1"
	e, err := engine.New(cfg)
	assert.NilError(t, err)
	assert.NilError(t, e.Start())
	t.Cleanup(e.Close)
	e.Preload("m", "", "v1", 10)
	return e
}

func chat(t testing.TB, e *engine.Engine, attempt, prompt string, tokens int, stream bool) *http.Response {
	t.Helper()
	body, err := json.Marshal(map[string]any{"model": "m", "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": prompt}}})
	assert.NilError(t, err)
	return do(t, "POST", "http://"+e.Addr()+engineapi.PathChat, attempt, body)
}

func do(t testing.TB, method, url, attempt string, body []byte) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set(engineapi.HeaderAttempt, attempt)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// events reads a stream to its end marker. It returns the text, the last position
// and whether the end marker came.
func events(t testing.TB, r io.Reader, attempt string, after int) (text string, pos int, complete bool) {
	t.Helper()
	pos = after
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			pos++
			assert.Equal(t, id, fmt.Sprintf("%s.%d", attempt, pos))
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == engineapi.StreamEnd {
			return text, pos, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
		text += chunk.Choices[0].Delta.Content
	}
	return text, pos, false
}

func TestStreamedAndCompleteAnswersAgree(t *testing.T) {
	e := start(t, engine.Config{TokenTime: 50 * time.Microsecond})
	prompt := answer.Mark("team", "i1") + " hydrant 7"
	resp := chat(t, e, "a1", prompt, 40, true)
	assert.Equal(t, resp.Header.Get(engineapi.HeaderAttempt), "a1")
	text, _, complete := events(t, resp.Body, "a1", 0)
	assert.Assert(t, complete)
	assert.NilError(t, answer.Verify(prompt, 40, text))

	var body struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	assert.NilError(t, json.NewDecoder(chat(t, e, "a2", prompt, 40, false).Body).Decode(&body))
	assert.Equal(t, body.Choices[0].Message.Content, text)

	recs := e.Records().Executions
	assert.Equal(t, len(recs), 2)
	assert.Equal(t, recs[0].Invocation, "i1")
	assert.Equal(t, recs[0].State, engineapi.AttemptCompleted)
}

// A host loses its connection to the upstream in the middle of a stream and
// resumes it: the events must continue after the position that the host has,
// without a gap.
func TestCutStreamResumes(t *testing.T) {
	e := start(t, engine.Config{TokenTime: 50 * time.Microsecond})
	e.CutStreamsAfter(5)
	prompt := answer.Mark("team", "i1")
	text, pos, complete := events(t, chat(t, e, "a1", prompt, 40, true).Body, "a1", 0)
	assert.Assert(t, !complete)
	assert.Equal(t, pos, 5)
	e.CutStreamsAfter(0)
	resp := do(t, "GET", "http://"+e.Addr()+"/engine/v1/attempts/a1/stream?after=5", "", nil)
	remainder, _, complete := events(t, resp.Body, "a1", pos)
	assert.Assert(t, complete)
	assert.NilError(t, answer.Verify(prompt, 40, text+remainder))
}

// A host asks for the outcome of an attempt whose request is still in transit,
// receives "unseen" and answers "not run" to its caller. If the request ran on its
// arrival, that answer would have been false.
func TestUnseenAttemptNeverRuns(t *testing.T) {
	e := start(t, engine.Config{})
	var attempt engineapi.Attempt
	resp := do(t, "GET", "http://"+e.Addr()+"/engine/v1/attempts/a1", "", nil)
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&attempt))
	assert.Equal(t, attempt.State, engineapi.AttemptUnseen)
	late := chat(t, e, "a1", "p", 4, false)
	assert.Equal(t, late.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, late.Header.Get(engineapi.HeaderRefused), engineapi.RefusedAttemptClosed)
	assert.Equal(t, len(e.Records().Executions), 0)
}

// An attempt reaches a later process than the one that its claim names. What the
// former process answered about the attempt is lost, so that only the name of the
// incarnation can prevent it from running.
func TestAttemptForAFormerIncarnationNeverRuns(t *testing.T) {
	e := start(t, engine.Config{})
	former := do(t, "GET", "http://"+e.Addr()+"/engine/v1/attempts/a1", "", nil).Header.Get(engineapi.HeaderIncarnation)
	e.Restart()
	http.DefaultClient.CloseIdleConnections() // the restart broke them, which a client may detect late
	e.Preload("m", "", "v1", 10)
	req, err := http.NewRequest("POST", "http://"+e.Addr()+engineapi.PathChat, strings.NewReader(`{"model":"m"}`))
	assert.NilError(t, err)
	req.Header.Set(engineapi.HeaderAttempt, "a1")
	req.Header.Set(engineapi.HeaderForIncarnation, former)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.Header.Get(engineapi.HeaderRefused), engineapi.RefusedRestarted)
	assert.Equal(t, len(e.Records().Executions), 0)
}

// BenchmarkStream reads streams as fast as they come, with the engine's default
// number of tokens in one write and with a write for each token.
func BenchmarkStream(b *testing.B) {
	for _, flush := range []int{0, 1} {
		b.Run(fmt.Sprintf("flush=%d", flush), func(b *testing.B) { benchStream(b, flush) })
	}
}

func benchStream(b *testing.B, flush int) {
	e := start(b, engine.Config{FlushTokens: flush})
	const tokens = 2000
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		buf := make([]byte, 64<<10)
		for i := 0; pb.Next(); i++ {
			resp := chat(b, e, "", "p", tokens, true)
			if _, err := io.CopyBuffer(io.Discard, struct{ io.Reader }{resp.Body}, buf); err != nil {
				b.Error(err)
			}
			_ = resp.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)*tokens/b.Elapsed().Seconds(), "tokens/s")
}

// Symptom: hosts route by loads that are seconds old although each answer carries
// a current one.
// Sequence: an engine answers; the load in its header has another format than that
// of the protocol.
// Cause: a reader silently drops a header that it cannot parse.
func TestAnswersCarryTheLoadInTheFormatOfTheProtocol(t *testing.T) {
	e := start(t, engine.Config{})
	resp := chat(t, e, "a-1", "hello", 3, false)
	defer func() { _ = resp.Body.Close() }()
	fields := strings.Fields(resp.Header.Get(engineapi.HeaderLoad))
	assert.Equal(t, len(fields), 4, "running, waiting, sequence, taken_ms")
}
