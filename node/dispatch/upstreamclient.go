package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/fault"
	"peridotpier.example/node/upstream/conn"
	"peridotpier.example/node/upstream/engineapi"
)

const (
	// probeTimeout bounds one query to an upstream on a new connection; within
	// and between nearby data centres an answer takes milliseconds.
	probeTimeout = time.Second
	// maxOutcomeBytes bounds the response to a query for an attempt's outcome: the
	// largest answer that is retained, in base64, and the JSON around it.
	maxOutcomeBytes = config.MaxAnswerBytes*4/3 + 64<<10
)

// errForgotten reports that the upstream no longer knows the attempt's outcome,
// so that asking again is useless.
var errForgotten = errors.New("upstream has forgotten the attempt")

// UpstreamClient queries, resumes and cancels attempts at upstreams.
type UpstreamClient struct{ client *conn.Client }

// NewUpstreamClient returns a client that uses the given connections.
func NewUpstreamClient(c *conn.Client) *UpstreamClient { return &UpstreamClient{client: c} }

func attemptPath(pattern, id string) string { return strings.Replace(pattern, "{id}", id, 1) }

// AttemptOutcome asks an upstream on a new connection for the outcome of an
// attempt. After the answer AttemptUnseen the upstream refuses that attempt for
// good.
func (u *UpstreamClient) AttemptOutcome(ctx context.Context, address, attempt string) (engineapi.Attempt, error) {
	var a engineapi.Attempt
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := u.client.Do(ctx, &conn.Request{Address: address, Method: http.MethodGet,
		Path: attemptPath(engineapi.PathAttempt, attempt), Header: http.Header{}, NewConnection: true})
	if err != nil {
		return a, err
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxOutcomeBytes))
	if err != nil {
		resp.Abort()
		return a, fault.Unknown(fault.StepResume, address, fault.CodeUpstreamFailed, "read fate: %w", err)
	}
	resp.Finish()
	if resp.Status == http.StatusGone {
		return a, fault.Unknown(fault.StepResume, address, fault.CodeOutcomeUnknown, "%w", errForgotten)
	}
	if resp.Status != http.StatusOK {
		return a, fault.Unknown(fault.StepResume, address, fault.CodeUpstreamFailed, "fate: status %d", resp.Status)
	}
	if err := json.Unmarshal(data, &a); err != nil || a.ID != attempt {
		return engineapi.Attempt{}, fault.Unknown(fault.StepResume, address, fault.CodeUpstreamFailed, "fate: answer for %q (%v)", a.ID, err)
	}
	return a, nil
}

// Report requests an upstream's report on a new connection.
func (u *UpstreamClient) Report(ctx context.Context, address string) (engineapi.Report, error) {
	var r engineapi.Report
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := u.client.Do(ctx, &conn.Request{Address: address, Method: http.MethodGet, Path: engineapi.PathReport,
		Header: http.Header{}, NewConnection: true})
	if err != nil {
		return r, err
	}
	defer resp.Abort()
	if resp.Status != http.StatusOK {
		return r, fault.Unknown(fault.StepRoute, address, fault.CodeUpstreamFailed, "report: status %d", resp.Status)
	}
	return r, json.NewDecoder(io.LimitReader(resp.Body, maxOutcomeBytes)).Decode(&r)
}

// Cancel tells an upstream to cancel an attempt.
func (u *UpstreamClient) Cancel(ctx context.Context, address, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := u.client.Do(ctx, &conn.Request{Address: address, Method: http.MethodDelete,
		Path: attemptPath(engineapi.PathAttempt, attempt), Header: http.Header{}, NewConnection: true})
	if err != nil {
		return err
	}
	resp.Abort()
	return nil
}

// Resume reopens an attempt's stream on a new connection, from the event after
// the given position.
func (u *UpstreamClient) Resume(ctx context.Context, address, attempt string, after int) (*conn.Response, error) {
	resp, err := u.client.Do(ctx, &conn.Request{Address: address, Method: http.MethodGet,
		Path: attemptPath(engineapi.PathResume, attempt), Query: "after=" + strconv.Itoa(after), Header: http.Header{}, NewConnection: true})
	if err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK || resp.Header.Get(engineapi.HeaderAttempt) != attempt {
		resp.Abort()
		return nil, fault.Unknown(fault.StepResume, address, fault.CodeUpstreamFailed, "resume: status %d", resp.Status)
	}
	return resp, nil
}
