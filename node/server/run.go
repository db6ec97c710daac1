package server

import (
	"context"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"peridotpier.example/core/member"
	"peridotpier.example/node/event"
)

// handOverTimeout bounds how long streams get to tell their callers where to resume.
const handOverTimeout = 2 * time.Second

// operatorDrainTimeout bounds how long the last requests of operators may take:
// changes of the configuration take one write to the platform's table, all
// others take milliseconds.
const operatorDrainTimeout = 2 * time.Second

// announceDelay is how long the last announcement gets to reach the other hosts.
const announceDelay = 100 * time.Millisecond

// Run serves until ctx ends, then shuts down gracefully.
func (s *Server) Run(ctx context.Context) error {
	var g run.Group
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	background := func(f func(context.Context) error) {
		g.Add(func() error { return f(work) }, func(error) { stopWork() })
	}
	background(s.cfg.Keys.Run)
	background(s.poller.Run)
	background(s.admit.Run)
	background(s.claims.run)
	background(s.config.Run)
	background(s.applyConfigs)
	background(s.demand.Run)
	background(s.mesh.Run)
	background(func(ctx context.Context) error { return s.mesh.Serve(ctx, s.peerLn) })
	background(s.manageRoles)
	for _, l := range []*listener{s.callers, s.operators} {
		g.Add(func() error {
			if err := l.serve(); err != nil {
				return err
			}
			<-work.Done() // a listener that is shut down must not stop the others
			return nil
		}, func(error) { l.close() })
	}
	g.Add(func() error { return s.drainOnStop(ctx) }, func(error) { stopWork() })
	err := g.Run()
	s.client.Close()
	return err
}

// drainOnStop waits until ctx ends, then reports "not ready", keeps serving until
// the load balancer has seen it, stops accepting requests, and waits for those in
// flight. Refusing requests from the first moment would fail those that the
// balancer still sends; closing the listener too early would cut them off.
func (s *Server) drainOnStop(ctx context.Context) error {
	select {
	case <-s.killed:
		return nil
	case <-ctx.Done():
	}
	s.phase.Store(phaseDraining)
	s.mesh.Announce(member.Draining)
	s.reconcileSoon() // leases move to other hosts now, not when this host has terminated
	s.log.Emit(event.ProcessDraining, zap.Int("in_flight", s.requests.LiveCount()))
	if !s.sleep(s.cfg.Settings.Bounds.BalancerWait()) {
		return nil
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), s.cfg.Settings.Bounds.Drain())
	defer cancel()
	cut := 0
	s.conns.markStopping()
	if err := s.callers.drain(drainCtx); err != nil {
		cut = s.requests.HandOver()
		handOverCtx, cancelLast := context.WithTimeout(context.Background(), handOverTimeout)
		defer cancelLast()
		_ = s.callers.drain(handOverCtx) // what is still open then is closed by Run
	}
	s.client.AwaitUploads(drainCtx)
	s.drainOperators()
	s.mesh.Announce(member.Terminated)
	s.sleep(announceDelay)
	s.log.Emit(event.ProcessStopped, append(s.conns.counts().fields(), zap.Int("cut", cut))...)
	return nil
}

// drainOperators finishes the requests of operators, whose listener stays open
// until the last caller has its answer.
func (s *Server) drainOperators() {
	drainCtx, cancel := context.WithTimeout(context.Background(), operatorDrainTimeout)
	defer cancel()
	_ = s.operators.drain(drainCtx) // what is still open then is closed by Run
}

// sleep waits for d; it returns false at once when the host is killed.
func (s *Server) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.killed:
		return false
	}
}

// Kill stops the host without notifying anyone, as a crash of its process would:
// connections break, nothing is handed over.
func (s *Server) Kill() {
	s.kill.Do(func() {
		close(s.killed)
		s.callers.close()
	})
}
