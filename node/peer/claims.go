package peer

import (
	"context"
	"encoding/json"
	"errors"

	decide "peridotpier.example/core/claim"
	"peridotpier.example/core/member"
	"peridotpier.example/node/claim"
	"peridotpier.example/node/peer/peerpb"
	"peridotpier.example/node/store"
)

// Claim reads or swaps a claim on behalf of a peer whose changes this host merges
// into its own commits.
func (s service) Claim(ctx context.Context, c *peerpb.ClaimCall) (*peerpb.ClaimAnswer, error) {
	if s.m.deps.Claims == nil {
		return &peerpb.ClaimAnswer{Problem: peerpb.ClaimAnswer_UNAVAILABLE}, nil
	}
	if !c.Swap {
		seen, err := s.m.deps.Claims.Read(ctx, c.Key)
		return claimAnswer(seen, err)
	}
	var row *decide.Row
	if len(c.Row) > 0 {
		row = &decide.Row{}
		if err := json.Unmarshal(c.Row, row); err != nil {
			return nil, err
		}
	}
	seen, err := s.m.deps.Claims.Swap(ctx, c.Key, c.Version, row)
	return claimAnswer(seen, err)
}

func claimAnswer(seen claim.VersionedRow, err error) (*peerpb.ClaimAnswer, error) {
	a := &peerpb.ClaimAnswer{Version: seen.Version}
	switch {
	case err == nil:
	case errors.Is(err, store.ErrConflict):
		a.Problem = peerpb.ClaimAnswer_CONFLICT
	case errors.Is(err, store.ErrUnconfirmed):
		a.Problem = peerpb.ClaimAnswer_IN_DOUBT
	default:
		a.Problem = peerpb.ClaimAnswer_UNAVAILABLE
	}
	if seen.Row == nil {
		return a, nil
	}
	row, err := json.Marshal(seen.Row)
	a.Row = row
	return a, err
}

var claimProblems = map[peerpb.ClaimAnswer_Problem]error{
	peerpb.ClaimAnswer_CONFLICT:    store.ErrConflict,
	peerpb.ClaimAnswer_UNAVAILABLE: store.ErrUnavailable,
	peerpb.ClaimAnswer_IN_DOUBT:    store.ErrUnconfirmed,
}

// ReadClaim reads a claim through another host. The error is one of package store;
// it is ErrUnconfirmed when the host's answer was lost.
func (m *Mesh) ReadClaim(ctx context.Context, h member.Host, key string) (claim.VersionedRow, error) {
	return m.callClaim(ctx, h, &peerpb.ClaimCall{Key: key})
}

// SwapClaim replaces or deletes (row nil) a claim through another host, if its row
// still has the given version. The error is one of package store: ErrConflict,
// ErrUnavailable, or ErrUnconfirmed, also when the host's answer was lost.
func (m *Mesh) SwapClaim(ctx context.Context, h member.Host, key string, version uint64, row *decide.Row) (claim.VersionedRow, error) {
	c := &peerpb.ClaimCall{Key: key, Swap: true, Version: version}
	if row != nil {
		data, err := json.Marshal(row)
		if err != nil {
			return claim.VersionedRow{}, err
		}
		c.Row = data
	}
	return m.callClaim(ctx, h, c)
}

func (m *Mesh) callClaim(ctx context.Context, h member.Host, c *peerpb.ClaimCall) (claim.VersionedRow, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var seen claim.VersionedRow
	var problem error
	err := m.conns.call(ctx, h.Address, func(p peerpb.DRPCPeerClient) error {
		a, err := p.Claim(ctx, c)
		if err != nil {
			return err
		}
		seen.Version, problem = a.Version, claimProblems[a.Problem]
		if len(a.Row) == 0 {
			return nil
		}
		seen.Row = &decide.Row{}
		return json.Unmarshal(a.Row, seen.Row)
	})
	if err != nil {
		return claim.VersionedRow{}, errors.Join(store.ErrUnconfirmed, err)
	}
	return seen, problem
}
