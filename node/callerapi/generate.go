package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"peridotpier.example/core/claim"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/core/place"
	"peridotpier.example/core/route"
	nodeclaim "peridotpier.example/node/claim"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/inflight"
)

// prefixBytes is how many bytes of a prompt are hashed to find other prompts with
// the same beginning, such as a team's fixed instructions.
const prefixBytes = 512

// generationRequest holds the fields of a request body that affect routing. The
// body itself is forwarded unchanged.
type generationRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
	// The maximum number of tokens that the caller wants, under the older and the
	// newer name of the field.
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

// generate serves chat completions and plain completions.
func (a *API) generate(c *call) error {
	opts, err := a.parseOptions(c)
	if err != nil {
		return err
	}
	body, err := readBody(c, min(c.state.Index.Limits.BodyBytes, maxBufferedBody))
	if err != nil {
		return err
	}
	var g generationRequest
	if err := json.Unmarshal(body, &g); err != nil {
		return fault.NotRun(fault.StepParse, "", fault.CodeBadRequest, "body is not a JSON request: %w", err)
	}
	target, ok := c.state.Index.Target(c.team.Name, g.Model)
	if !ok {
		return fault.NotRun(fault.StepParse, "", fault.CodeModelNotFound, "there is no model %q for your team; GET /v1/models lists them", g.Model)
	}
	w := &dispatch.Work{RequestID: c.id, Team: c.team.Name, Class: opts.class, Pool: target.Pool,
		Key:    route.ModelKey{Model: target.Model, Adapter: target.Adapter},
		Method: http.MethodPost, Path: c.Request().URL.Path, Header: http.Header{"Content-Type": {"application/json"}},
		Body: body, Stream: g.Stream, Deadline: opts.deadline, Repeatable: opts.key == "", Prefix: a.prefix(c.team.Name, target.Model, &g)}
	w.MaxTokens = max(g.MaxTokens, g.MaxCompletionTokens)
	if target.TokensPerSecond > 0 {
		w.IdleStepMs = 1000 / float64(target.TokensPerSecond)
	}
	if opts.key != "" {
		a.requireClaim(c, w, opts.key, body)
	}
	return a.serve(c, w, g.Model)
}

// prefix returns a hash of the beginning of a prompt, salted by team: equal prompts
// of two teams must not have equal hashes, or one team could learn the other's
// prompts from response times.
func (a *API) prefix(team, model string, g *generationRequest) uint64 {
	text := g.Messages
	if text == nil {
		text = g.Prompt
	}
	d := xxhash.New()
	_, _ = d.WriteString(a.cfg.PrefixSalt) // a Digest's writes never fail
	_, _ = d.WriteString("\x00" + team + "\x00" + model + "\x00")
	_, _ = d.Write(text[:min(prefixBytes, len(text))])
	return d.Sum64()
}

// requireClaim marks a request as one that may not be repeated, and that is claimed
// under an idempotency key.
func (a *API) requireClaim(c *call, w *dispatch.Work, key string, body []byte) {
	w.Repeatable = false
	w.MaxRetainedBytes = c.state.Index.Limits.AnswerBytes
	r := nodeclaim.Request{Team: w.Team, Key: key, BodyHash: hashRequest(w, body), Deadline: w.Deadline}
	w.Claim = func(ctx context.Context, first claim.Route) (dispatch.Grant, *nodeclaim.Answer, error) {
		r.Route = first
		return a.deps.Claims.Claim(ctx, r)
	}
}

func hashRequest(w *dispatch.Work, body []byte) string {
	h := sha256.New()
	for _, s := range []string{w.Method, w.Path, w.Query} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// serve admits a request, dispatches it and records it among the live requests.
func (a *API) serve(c *call, w *dispatch.Work, target string) error {
	ctx := c.ctx()
	if w.Claim != nil {
		// A claimed request runs to its end even if its caller disconnects: the
		// caller may repeat the request with its key to get the answer.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, entry := a.deps.Requests.Begin(ctx, inflight.Request{ID: c.id, Team: w.Team, Target: target, Class: w.Class, Started: a.deps.Now()})
	err := a.countDemand(ctx, c, w, entry, target)
	state, code := outcome.Completed, ""
	if err != nil {
		f := fault.From(fault.StepDispatch, err)
		state, code = f.Outcome, string(f.Code)
	}
	handedOver := errors.Is(context.Cause(ctx), inflight.ErrHandedOver)
	entry.End(state.String(), code)
	switch {
	case err == nil:
		a.countOutcome(outcome.Completed)
	case handedOver:
		a.handOver(c)
	}
	return err
}

// countDemand records the demand that the planners follow, and admits and
// dispatches the request. A request that is refused because there is no replica or
// no capacity counts too: another replica would serve it.
func (a *API) countDemand(ctx context.Context, c *call, w *dispatch.Work, e *inflight.Entry, target string) error {
	if w.PlainService {
		return a.admitAndDispatch(ctx, c, w, e, target)
	}
	k := place.Key{Model: w.Key.Model, Adapter: w.Key.Adapter}
	a.deps.Demand.Begin(k)
	err := a.admitAndDispatch(ctx, c, w, e, target)
	refused := false
	if err != nil {
		f := fault.From(fault.StepDispatch, err)
		refused = f.Code == fault.CodeNoUpstream || f.Code == fault.CodeOverloaded
	}
	a.deps.Demand.End(k, refused)
	return err
}

func (a *API) admitAndDispatch(ctx context.Context, c *call, w *dispatch.Work, e *inflight.Entry, target string) error {
	if freshness := a.deps.Config.Freshness(); !freshness.Admits(w.Class) {
		return fault.NotRun(fault.StepConfig, "", fault.CodeStoreUnavailable, "this host has not known for long whether its configuration is the newest (%s): it takes urgent requests only", freshness).WithRetryAfter(noConfigRetryAfter)
	}
	release, err := a.deps.Admission.Admit(ctx, AdmitRequest{Team: w.Team, Class: w.Class, Pool: w.Pool, Deadline: w.Deadline})
	if err != nil {
		return err
	}
	defer release()
	s := a.newSink(c, e, target, w.Stream, w.Deadline)
	if err := a.deps.Dispatcher.Do(ctx, w, s); err != nil {
		return err
	}
	s.finish()
	return nil
}
