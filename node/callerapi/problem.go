package callerapi

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/metrics"
)

// noConfigRetryAfter is the Retry-After of a host that has no configuration yet, or
// whose configuration is too old for the request.
const noConfigRetryAfter = time.Second

// Problem is the body of an error answer to a caller: the OpenAI format, extended
// by what is known about the execution of the request.
type Problem struct {
	Error ProblemDetail `json:"error"`
}

// ProblemDetail is the content of a Problem.
type ProblemDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	Param     string `json:"param,omitempty"`
	Outcome   string `json:"outcome"` // "not_run", "unknown" or "completed"
	Step      string `json:"step,omitempty"`
	RequestID string `json:"request_id"`
}

var statuses = map[fault.Code]int{
	fault.CodeBadRequest:             http.StatusBadRequest,
	fault.CodeIdempotencyKeyRequired: http.StatusBadRequest,
	fault.CodeInvalidAPIKey:          http.StatusUnauthorized,
	fault.CodeNotFound:               http.StatusNotFound,
	fault.CodeModelNotFound:          http.StatusNotFound,
	fault.CodeRequestTooLarge:        http.StatusRequestEntityTooLarge,
	fault.CodeIdempotencyKeyReused:   http.StatusConflict,
	fault.CodeInProgress:             http.StatusConflict,
	fault.CodeConflict:               http.StatusConflict,
	fault.CodeTeamLimit:              http.StatusTooManyRequests,
	fault.CodeOverloaded:             http.StatusServiceUnavailable,
	fault.CodeNoUpstream:             http.StatusServiceUnavailable,
	fault.CodeStoreUnavailable:       http.StatusServiceUnavailable,
	fault.CodeDraining:               http.StatusServiceUnavailable,
	fault.CodeDeadlineExceeded:       http.StatusGatewayTimeout,
	fault.CodeUpstreamFailed:         http.StatusBadGateway,
	fault.CodeOutcomeUnknown:         http.StatusBadGateway,
}

func statusOf(c fault.Code) int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}

func typeOf(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// asFault converts the error of any handler to a fault.
func asFault(err error) *fault.Error {
	var coded echo.HTTPStatusCoder
	var f *fault.Error
	if !errors.As(err, &f) && errors.As(err, &coded) {
		code := fault.CodeBadRequest
		if s := coded.StatusCode(); s == http.StatusNotFound || s == http.StatusMethodNotAllowed {
			code = fault.CodeNotFound
		}
		return fault.NotRun(fault.StepParse, "", code, "no such path or method")
	}
	return fault.From(fault.StepDispatch, err)
}

// writeProblem answers with an error. If the answer has already begun, it must not
// appear to end normally: a stream gets the error as its last event, and in every
// case the connection is aborted.
func (a *API) writeProblem(c *echo.Context, err error) {
	f := asFault(err)
	a.countOutcome(f.Outcome)
	a.logFailure(c, f)
	r, _ := echo.UnwrapResponse(c.Response())
	body := a.problemBody(c, f)
	if r != nil && r.Committed {
		if isStream(c.Response().Header()) {
			a.writeErrorEvent(c, body)
		}
		panic(http.ErrAbortHandler)
	}
	h := c.Response().Header()
	h.Del("Content-Length")
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	_ = c.JSON(statusOf(f.Code), body) // the caller may have disconnected
}

func (a *API) problemBody(c *echo.Context, f *fault.Error) Problem {
	status := statusOf(f.Code)
	return Problem{ProblemDetail{Message: message(f), Type: typeOf(status), Code: string(f.Code), Outcome: f.Outcome.String(),
		Step: string(f.Step), RequestID: c.Response().Header().Get(HeaderRequestID)}}
}

// writeErrorEvent sends the caller of a stream the reason why it ends without its
// end marker.
func (a *API) writeErrorEvent(c *echo.Context, p Problem) {
	data, err := json.Marshal(p)
	if err != nil {
		return
	}
	event := append(append([]byte("event: error\ndata: "), data...), "\n\n"...)
	if _, err := c.Response().Write(event); err == nil {
		_ = http.NewResponseController(c.Response()).Flush() // the caller may have disconnected
	}
}

func (a *API) countOutcome(o outcome.Outcome) {
	switch o {
	case outcome.NotRun:
		a.deps.Metrics.Count(metrics.NotRun, 1)
	case outcome.Completed:
		a.deps.Metrics.Count(metrics.Completed, 1)
	default:
		a.deps.Metrics.Count(metrics.OutcomeUnknown, 1)
	}
}

func isStream(h http.Header) bool { return h.Get(echo.HeaderContentType) == "text/event-stream" }
