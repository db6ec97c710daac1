package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"peridotpier.example/core/member"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/peer/peerpb"
)

const (
	// batchWindow is how long a link waits for more news before it sends. It
	// adds to each hop, of which there are about four; a burst of words then
	// shares one message.
	batchWindow = 20 * time.Millisecond
	// wordsMost bounds one message; about 100 KB.
	wordsMost = 500
	// silentAfter is how many heartbeats may be missed on a link.
	silentAfter = 3
	// digestEach is how many heartbeats pass between two digests.
	digestEach = 5
	// repairEach is the least time between two full sendings on one link.
	repairEach = 30 * time.Second
)

// stream is either side of a Link call.
type stream interface {
	Send(*peerpb.Message) error
	Recv() (*peerpb.Message, error)
	Context() context.Context
}

// link is one open link. Its queue holds the newest word on each subject only:
// a slow link is sent less, never older, and its memory is bounded by the
// number of subjects.
type link struct {
	m      *Mesh
	dialed bool // by this host
	cancel context.CancelFunc
	heard  atomic.Int64 // Unix nanoseconds of the last message, by the mesh's clock
	wake   chan struct{}

	mu        sync.Mutex // taken after Mesh.mu, if both
	peer      member.Host
	hosts     map[string]member.Host
	upstreams map[string]member.Upstream // by name and incarnation
	head      bool                       // send the configuration's head
	digest    bool
	repaired  time.Time
}

func newLink(m *Mesh, dialed bool, cancel context.CancelFunc) *link {
	l := &link{m: m, dialed: dialed, cancel: cancel, wake: make(chan struct{}, 1),
		hosts: map[string]member.Host{}, upstreams: map[string]member.Upstream{}, head: true, digest: true}
	l.heard.Store(m.now().UnixNano())
	return l
}

func (l *link) name() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer.Name
}

func (l *link) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) queueHost(h member.Host) {
	l.mu.Lock()
	l.hosts[h.Name] = h
	l.mu.Unlock()
	l.poke()
}

func (l *link) queueUpstream(u member.Upstream) {
	l.mu.Lock()
	l.upstreams[u.Name+"\x00"+u.Incarnation] = u
	l.mu.Unlock()
	l.poke()
}

func (l *link) queueHead() {
	l.mu.Lock()
	l.head = true
	l.mu.Unlock()
	l.poke()
}

// send sends what is queued, and a heartbeat when nothing was for a while.
func (l *link) send(s stream) error {
	ctx := s.Context()
	if err := s.Send(l.first()); err != nil {
		return err
	}
	beat := time.NewTimer(l.m.cfg.HeartbeatInterval)
	defer beat.Stop()
	for beats := 1; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-beat.C:
			beats++
			l.mu.Lock()
			l.digest = l.digest || beats%digestEach == 0
			l.mu.Unlock()
		case <-l.wake:
			if !pace.Sleep(ctx, batchWindow) {
				return ctx.Err()
			}
		}
		for more := true; more; {
			var msg *peerpb.Message
			msg, more = l.next()
			if err := s.Send(msg); err != nil {
				return err
			}
		}
		beat.Reset(l.m.cfg.HeartbeatInterval)
	}
}

// first introduces this host.
func (l *link) first() *peerpb.Message {
	return &peerpb.Message{From: hostToWire(l.m.Self()), Config: l.m.configWord(false)}
}

// next takes one message's worth from the queue.
func (l *link) next() (msg *peerpb.Message, more bool) {
	digest := l.m.digest()
	l.mu.Lock()
	defer l.mu.Unlock()
	msg = &peerpb.Message{Config: l.m.configWord(l.head)}
	l.head = false
	n := 0
	for k, h := range l.hosts {
		if n++; n > wordsMost {
			return msg, true
		}
		msg.Hosts = append(msg.Hosts, hostToWire(h))
		delete(l.hosts, k)
	}
	for k, u := range l.upstreams {
		if n++; n > wordsMost {
			return msg, true
		}
		msg.Upstreams = append(msg.Upstreams, upstreamToWire(u))
		delete(l.upstreams, k)
	}
	if l.digest {
		msg.Digest = digest
		l.digest = false
	}
	return msg, false
}

// receive takes what the other side tells until the link ends.
func (l *link) receive(s stream) error {
	for {
		msg, err := s.Recv()
		if err != nil {
			return err
		}
		l.heard.Store(l.m.now().UnixNano())
		l.m.take(l, msg)
	}
}

// mayRepair says whether everything may be sent again on this link now.
func (l *link) mayRepair(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.repaired.IsZero() && now.Sub(l.repaired) < repairEach {
		return false
	}
	l.repaired = now
	return true
}
