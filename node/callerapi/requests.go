package callerapi

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/core/token"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/inflight"
)

const maxListed = 100 // maximum number of requests in one list

// requests lists the team's own requests on this host.
func (a *API) requests(c *call) error {
	return c.JSON(http.StatusOK, map[string]any{"object": "list", "data": a.deps.Requests.List(c.team.Name, maxListed)})
}

func (a *API) request(c *call) error {
	q, ok := a.deps.Requests.Get(c.Param("id"), c.team.Name)
	if !ok {
		return requestNotFound()
	}
	return c.JSON(http.StatusOK, q)
}

// requestNotFound returns an error that does not repeat the id: it may be a resume
// token, and errors end up in callers' logs.
func requestNotFound() error {
	return fault.NotRun(fault.StepParse, "", fault.CodeNotFound, "this host knows no such request of your team")
}

// cancel cancels a request of the team, by its id on the host that serves it, or by
// its resume token on any host.
func (a *API) cancel(c *call) error {
	id := c.Param("id")
	if a.deps.Requests.Cancel(id, c.team.Name, dispatch.ErrCancelled) {
		return c.NoContent(http.StatusNoContent)
	}
	t, err := a.deps.Tokens.Decode(id, c.team.Name, a.deps.Now())
	if err != nil {
		return requestNotFound()
	}
	u, ok := c.state.Index.Upstream(t.Upstream)
	if !ok {
		return requestNotFound()
	}
	a.deps.Requests.Cancel(t.Request, c.team.Name, dispatch.ErrCancelled)
	if err := a.deps.Dispatcher.UpstreamClient().Cancel(c.ctx(), u.Address, t.Attempt); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// resume continues a stream, whichever host it began on.
func (a *API) resume(c *call) error {
	t, err := a.deps.Tokens.Decode(c.Param("id"), c.team.Name, a.deps.Now())
	if err != nil {
		// The answer is the same for every fault of a token, so that guesses reveal nothing.
		return fault.Unknown(fault.StepResume, "", fault.CodeNotFound, "this resume token is not valid, or no longer")
	}
	after := 0
	if text := c.Request().Header.Get(headerLastEvent); text != "" {
		if after, err = strconv.Atoi(text); err != nil || after < 0 {
			return fault.NotRun(fault.StepParse, "", fault.CodeBadRequest, "%s: %q is not a position", headerLastEvent, text)
		}
	}
	u, ok := c.state.Index.Upstream(t.Upstream)
	if !ok {
		return fault.Unknown(fault.StepResume, t.Upstream, fault.CodeOutcomeUnknown, "the upstream of this stream is gone")
	}
	return a.resumeStream(c, t, dispatch.Resumption{Attempt: t.Attempt, Upstream: t.Upstream, Address: u.Address,
		DataCentre: u.DataCentre, Incarnation: t.Incarnation, After: after})
}

func (a *API) resumeStream(c *call, t token.Token, r dispatch.Resumption) error {
	deadline := a.deps.Now().Add(maxDeadline)
	ctx, entry := a.deps.Requests.Begin(c.ctx(), inflight.Request{ID: c.id, Team: c.team.Name, Target: t.Model, Started: a.deps.Now()})
	w := &dispatch.Work{RequestID: t.Request, Team: t.Team, Stream: true, Deadline: deadline}
	s := a.newSink(c, entry, t.Model, true, deadline)
	err := a.deps.Dispatcher.Resume(ctx, w, r, s)
	state := outcome.Completed
	if err != nil {
		state = fault.From(fault.StepResume, err).Outcome
	} else {
		s.finish()
	}
	entry.End(state.String(), "")
	return err
}

// handOver ends a stream that is still open at the end of a graceful shutdown: its
// last event tells the caller where to resume it, on another host. It returns only
// if there is no stream to hand over.
func (a *API) handOver(c *call) {
	t := c.Response().Header().Get(HeaderResume)
	r, _ := echo.UnwrapResponse(c.Response())
	if t == "" || r == nil || !r.Committed {
		return
	}
	if _, err := c.Response().Write([]byte("event: handover\ndata: {\"resume\":\"/v1/requests/" + t + "/stream\"}\n\n")); err == nil {
		_ = http.NewResponseController(c.Response()).Flush() // the caller may have disconnected
	}
	panic(http.ErrAbortHandler) // the stream must not appear to end normally
}
