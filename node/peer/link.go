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
	// batchWindow is how long a link waits for more records before it sends a
	// message, so that a burst of records shares one. It adds to the delay of each
	// hop, of which there are about four.
	batchWindow = 20 * time.Millisecond
	// maxRecords bounds the records in one message, which is then about 100 KB.
	maxRecords = 500
	// maxMissedHeartbeats is the number of heartbeat intervals without a message
	// after which a link counts as unresponsive.
	maxMissedHeartbeats = 3
	// heartbeatsPerDigest is the number of heartbeats between two digests.
	heartbeatsPerDigest = 5
	// minRepairInterval is the minimum time between two transfers of all records
	// on one link.
	minRepairInterval = 30 * time.Second
)

// stream is either side of a Link call.
type stream interface {
	Send(*peerpb.Message) error
	Recv() (*peerpb.Message, error)
	Context() context.Context
}

// link is an open link to another host. Its queue has only the newest record of each host and of
// each process of an upstream: a slow link thus gets fewer records, never outdated
// ones, and its memory is bounded by the number of hosts and processes.
type link struct {
	m            *Mesh
	dialed       bool // this host opened the link
	cancel       context.CancelFunc
	lastReceived atomic.Int64  // when the last message was received, in Unix nanoseconds by the mesh's clock
	wake         chan struct{} // wakes the sender

	mu         sync.Mutex // locked after Mesh.mu, if both are
	peer       member.Host
	hosts      map[string]member.Host
	upstreams  map[string]member.Upstream // by name and incarnation
	sendHead   bool                       // the next message has the configuration's head
	sendDigest bool                       // the last message of the next batch has a digest
	lastRepair time.Time
}

func newLink(m *Mesh, dialed bool, cancel context.CancelFunc) *link {
	l := &link{m: m, dialed: dialed, cancel: cancel, wake: make(chan struct{}, 1),
		hosts: map[string]member.Host{}, upstreams: map[string]member.Upstream{}, sendHead: true, sendDigest: true}
	l.lastReceived.Store(m.now().UnixNano())
	return l
}

func (l *link) peerName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer.Name
}

func (l *link) wakeSender() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) queueHost(h member.Host) {
	l.mu.Lock()
	l.hosts[h.Name] = h
	l.mu.Unlock()
	l.wakeSender()
}

func (l *link) queueUpstream(u member.Upstream) {
	l.mu.Lock()
	l.upstreams[u.Name+"\x00"+u.Incarnation] = u
	l.mu.Unlock()
	l.wakeSender()
}

func (l *link) queueHead() {
	l.mu.Lock()
	l.sendHead = true
	l.mu.Unlock()
	l.wakeSender()
}

// send sends queued records, and a heartbeat after each interval without any, until
// the link ends.
func (l *link) send(s stream) error {
	ctx := s.Context()
	if err := s.Send(l.firstMessage()); err != nil {
		return err
	}
	timer := time.NewTimer(l.m.cfg.HeartbeatInterval)
	defer timer.Stop()
	for beats := 1; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			beats++
			l.mu.Lock()
			l.sendDigest = l.sendDigest || beats%heartbeatsPerDigest == 0
			l.mu.Unlock()
		case <-l.wake:
			if !pace.Sleep(ctx, batchWindow) {
				return ctx.Err()
			}
		}
		for more := true; more; {
			var msg *peerpb.Message
			msg, more = l.nextMessage()
			if err := s.Send(msg); err != nil {
				return err
			}
		}
		timer.Reset(l.m.cfg.HeartbeatInterval)
	}
}

// firstMessage returns the message that introduces this host.
func (l *link) firstMessage() *peerpb.Message {
	return &peerpb.Message{From: hostToWire(l.m.Self()), Config: l.m.configUpdate(false)}
}

// nextMessage removes up to one message's records from the queue. more reports
// whether records remain.
func (l *link) nextMessage() (msg *peerpb.Message, more bool) {
	digest := l.m.digest()
	l.mu.Lock()
	defer l.mu.Unlock()
	msg = &peerpb.Message{Config: l.m.configUpdate(l.sendHead)}
	l.sendHead = false
	n := 0
	for k, h := range l.hosts {
		if n++; n > maxRecords {
			return msg, true
		}
		msg.Hosts = append(msg.Hosts, hostToWire(h))
		delete(l.hosts, k)
	}
	for k, u := range l.upstreams {
		if n++; n > maxRecords {
			return msg, true
		}
		msg.Upstreams = append(msg.Upstreams, upstreamToWire(u))
		delete(l.upstreams, k)
	}
	if l.sendDigest {
		msg.Digest = digest
		l.sendDigest = false
	}
	return msg, false
}

// receive processes the messages of the other side until the link ends.
func (l *link) receive(s stream) error {
	for {
		msg, err := s.Recv()
		if err != nil {
			return err
		}
		l.lastReceived.Store(l.m.now().UnixNano())
		l.m.handleMessage(l, msg)
	}
}

// mayRepair reports whether all records may be sent on this link now, and records
// that they are.
func (l *link) mayRepair(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastRepair.IsZero() && now.Sub(l.lastRepair) < minRepairInterval {
		return false
	}
	l.lastRepair = now
	return true
}
