package link

import (
	"context"
	"errors"
	"time"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/gate"
)

// errNotLinked means that no acting coordinator is known.
var errNotLinked = errors.New("not linked to a host that gives orders")

// LoadAdapter implements gate.Coordinator.
func (l *Link) LoadAdapter(ctx context.Context, upstream, model, adapter string) error {
	address := l.coordinatorAddress()
	if address == "" {
		return errNotLinked
	}
	var err error
	if address == l.cfg.Address {
		upstream, err = l.own.LoadAdapter(ctx, upstream, model, adapter)
	} else {
		err = l.conns.Call(ctx, address, func(ctx context.Context, c coordpb.DRPCCoordinatorClient) error {
			a, err := c.Adapter(ctx, &coordpb.AdapterCall{Upstream: upstream, Model: model, Adapter: adapter})
			if err != nil {
				return err
			}
			if a.Problem != "" {
				return errors.New(a.Problem)
			}
			upstream = a.Upstream
			return nil
		})
	}
	if err != nil {
		return err
	}
	if e, ok := l.deps.Fleet.Entry(upstream); ok {
		e.AdapterLoaded(model, adapter)
	}
	return nil
}

// RecordDemand implements gate.Coordinator.
func (l *Link) RecordDemand(service string, info *gate.RequestInfo, output int, objective time.Duration, rank int, unserved bool) {
	k := demandKey{service, info.Model, info.Adapter, rank}
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.demand[k]
	if d == nil {
		d = &coordpb.Demand{Service: service, Model: info.Model, Adapter: info.Adapter, Rank: uint32(rank)}
		l.demand[k] = d
	}
	if ms := uint32(objective.Milliseconds()); ms > 0 && (d.PatienceMs == 0 || ms < d.PatienceMs) {
		d.PatienceMs = ms
	}
	if unserved {
		d.Unserved++
		l.ReportSoon() // the answer contains where the model is resident or being loaded
		return
	}
	d.Requests++
	d.Prompt += uint32(info.PromptTokens)
	d.Output += uint32(output)
}
