package operatorapi

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"
	"go.uber.org/zap"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/command"
	"peridotpier.example/node/event"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/store"
)

// Page sizes of lists.
const (
	defaultPage = 50
	maxPage     = 500
)

func (a *API) status(c *call) error { return c.JSON(http.StatusOK, a.deps.Site.Status()) }

func (a *API) rollout(c *call) error {
	e, err := a.deps.Site.Rollout(c.ctx())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, e)
}

func (a *API) configuration(c *call) error {
	s, ok := a.deps.Config.Current()
	if !ok {
		return notFound("no configuration is in force; apply one first")
	}
	doc, err := s.Document()
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Configuration{Head: s.Head, Document: doc})
}

func (a *API) apply(c *call) error {
	parent, err := queryNumber(c, "parent")
	if err != nil {
		return err
	}
	doc, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxDocumentBytes))
	if err != nil {
		return problemError{http.StatusBadRequest, Problem{Code: "bad_request", Message: "read the document: " + err.Error()}}
	}
	head, err := a.deps.Changes.Apply(c.ctx(), command.ApplyRequest{Author: c.operator, Parent: parent, Document: doc, Preset: c.QueryParam("preset")})
	if err != nil {
		return err
	}
	a.recordChange(c, head.Version)
	return c.JSON(http.StatusOK, Applied{head})
}

// recordChange logs an accepted change and makes this host read it at once; peers
// receive the new version from this host.
func (a *API) recordChange(c *call, version uint64) {
	a.deps.Log.Emit(event.OperatorChanged, zap.String("operator", c.operator), zap.Uint64("version", version))
	a.deps.Config.PollSoon()
}

func (a *API) presets(c *call) error {
	s, ok := a.deps.Config.Current()
	if !ok {
		return notFound("no configuration is in force; apply one first")
	}
	return c.JSON(http.StatusOK, Presets{Version: s.Version, InForce: s.Preset.Name, Presets: s.Index.Presets})
}

func (a *API) usePreset(c *call) error {
	preset := c.Param("preset")
	if c.QueryParam("dry_run") != "" {
		d, err := a.deps.Site.DryRun(c.ctx(), preset)
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, d)
	}
	parent, err := queryNumber(c, "parent")
	if err != nil {
		return err
	}
	head, err := a.deps.Changes.UsePreset(c.ctx(), command.UsePresetRequest{Author: c.operator, Parent: parent, Preset: preset})
	var invalid *command.InvalidError
	if errors.As(err, &invalid) { // the configuration is already in force, so only the preset can be invalid
		return notFound(fmt.Sprintf("there is no preset %q", preset))
	}
	if err != nil {
		return err
	}
	a.recordChange(c, head.Version)
	return c.JSON(http.StatusOK, Applied{head})
}

func (a *API) audit(c *call) error {
	before, err := queryNumber(c, "before")
	if err != nil {
		return err
	}
	limit, err := queryNumber(c, "limit")
	if err != nil {
		return err
	}
	if limit == 0 {
		limit = defaultPage
	}
	limit = min(limit, maxPage)
	entries, err := a.deps.Audit.Page(c.ctx(), before, int(limit))
	if err != nil {
		return err
	}
	p := AuditPage{Entries: entries}
	if uint64(len(entries)) == limit && entries[limit-1].Version > 1 {
		p.Next = entries[limit-1].Version
	}
	return c.JSON(http.StatusOK, p)
}

func (a *API) requests(c *call) error {
	return c.JSON(http.StatusOK, RequestList{a.deps.Requests.List(inflight.AllTeams, maxPage)})
}

func (a *API) request(c *call) error {
	q, ok, err := a.deps.Site.FindRequest(c.ctx(), c.Param("id"))
	if err != nil {
		return err
	}
	if !ok {
		return notFound("no host knows request " + c.Param("id"))
	}
	return c.JSON(http.StatusOK, q)
}

func (a *API) cancel(c *call) error {
	ok, err := a.deps.Site.CancelRequest(c.ctx(), c.Param("id"))
	if err != nil {
		return err
	}
	if !ok {
		return notFound("no host runs request " + c.Param("id"))
	}
	a.deps.Log.Emit(event.OperatorCancelled, zap.String("operator", c.operator), zap.String("request", c.Param("id")))
	return c.NoContent(http.StatusNoContent)
}

// queryNumber returns a numeric query parameter, or 0 if it is absent.
func queryNumber(c *call, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, problemError{http.StatusBadRequest, Problem{Code: "bad_request", Message: name + " must be a number"}}
	}
	return n, nil
}

// problemError is an error with the status and the body of its answer.
type problemError struct {
	status  int
	problem Problem
}

// Error implements error.
func (p problemError) Error() string { return p.problem.Message }

func notFound(message string) error {
	return problemError{http.StatusNotFound, Problem{Code: "not_found", Message: message}}
}

func (a *API) writeProblem(c *echo.Context, err error) {
	status, p := problemOf(err)
	_ = c.JSON(status, p) // the operator may have disconnected
}

func problemOf(err error) (int, Problem) {
	var typed problemError
	var coded echo.HTTPStatusCoder
	var invalid *command.InvalidError
	var conflict *command.ConflictError
	switch {
	case errors.As(err, &typed):
		return typed.status, typed.problem
	case errors.As(err, &invalid):
		return http.StatusUnprocessableEntity, Problem{Code: "invalid", Message: "the configuration has faults", Faults: invalid.Faults}
	case errors.As(err, &conflict):
		return http.StatusConflict, Problem{Code: "conflict", Message: conflict.Error()}
	case errors.Is(err, store.ErrUnconfirmed):
		return http.StatusBadGateway, Problem{Code: "in_doubt", Outcome: outcome.Unknown.String(),
			Message: "the store's answer was lost: the change may or may not be in force; look at the status before trying again"}
	case errors.As(err, &coded):
		return coded.StatusCode(), Problem{Code: "bad_request", Message: "no such path or method"}
	}
	f := fault.From(fault.StepConfig, err)
	switch f.Code {
	case fault.CodeNotFound:
		return http.StatusNotFound, Problem{Code: string(f.Code), Message: f.Error()}
	case fault.CodeBadRequest:
		return http.StatusBadRequest, Problem{Code: string(f.Code), Message: f.Error()}
	case fault.CodeStoreUnavailable:
		return http.StatusServiceUnavailable, Problem{Code: string(f.Code), Message: f.Error()}
	default:
		return http.StatusBadGateway, Problem{Code: string(f.Code), Message: f.Error()}
	}
}
