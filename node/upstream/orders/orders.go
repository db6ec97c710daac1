// Package orders sends the orders of a planner to engines.
package orders

import (
	"context"
	"encoding/json"
	"net/http"

	"peridotpier.example/core/fault"
	"peridotpier.example/node/upstream/conn"
	"peridotpier.example/node/upstream/engineapi"
)

const maxAnswerBytes = 64 << 10 // bounds the answer to an order

// Sender sends orders to upstreams.
type Sender struct {
	client  *conn.Client
	address func(upstream string) (string, bool) // see New
}

// New returns a Sender; address returns the current address of an upstream, and
// false if the upstream is not configured.
func New(c *conn.Client, address func(upstream string) (string, bool)) *Sender {
	return &Sender{client: c, address: address}
}

// Send sends one order. An error with the outcome NotRun means that it was never
// sent; after any other error the order is unconfirmed: it may have been applied.
func (s *Sender) Send(ctx context.Context, upstream string, o engineapi.Order) (engineapi.OrderAnswer, error) {
	var a engineapi.OrderAnswer
	address, ok := s.address(upstream)
	if !ok {
		return a, fault.NotRun(fault.StepOrder, upstream, fault.CodeNotFound, "upstream is not in the configuration")
	}
	body, err := json.Marshal(o)
	if err != nil {
		return a, err
	}
	resp, err := s.client.Do(ctx, &conn.Request{Address: address, Method: http.MethodPost, Path: engineapi.PathOrders,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body})
	if err != nil {
		return a, err
	}
	data, err := resp.ReadAll(maxAnswerBytes)
	if err != nil {
		return a, fault.Unknown(fault.StepOrder, upstream, fault.CodeUpstreamFailed, "read the answer: %w", err)
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fault.Unknown(fault.StepOrder, upstream, fault.CodeUpstreamFailed, "status %d: %w", resp.Status, err)
	}
	return a, nil
}
