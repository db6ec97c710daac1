// Package inflight registers the requests that this host is serving and those it
// served last: for draining, for cancellation, and to show them to operators and
// to the team they belong to.
package inflight

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"peridotpier.example/core/class"
)

// ErrHandedOver is the cause with which a stream ends that outlives the bound of a
// graceful shutdown: its caller resumes it through another host.
var ErrHandedOver = errors.New("host is shutting down")

const (
	numShards = 16
	// maxEndedPerShard bounds the ended requests remembered in one shard.
	maxEndedPerShard = 64
)

// Request is the description of a request that operators and teams see.
type Request struct {
	ID       string      `json:"id"`
	Team     string      `json:"team"`
	Target   string      `json:"target"` // model, adapter or service
	Class    class.Class `json:"class"`
	Started  time.Time   `json:"started"`
	State    string      `json:"state"` // StateRunning, or the outcome
	Upstream string      `json:"upstream,omitempty"`
	Attempt  string      `json:"attempt,omitempty"`
	Code     string      `json:"code,omitempty"`
}

// AllTeams, in place of a team, means all teams; no team has an empty name.
const AllTeams = ""

// visibleTo reports whether a team, or AllTeams, may see and cancel the request.
func (q *Request) visibleTo(team string) bool { return team == AllTeams || q.Team == team }

// StateRunning is the state of a request that has not ended.
const StateRunning = "running"

// Ids have the form "r-<host>-<uuid>", so that any host knows which host to ask
// for a request.
const (
	idPrefix = "r-"
	uuidLen  = 36
)

// NewID returns a new request id for a host.
func NewID(host string) string { return idPrefix + host + "-" + uuid.NewString() }

// HostOf returns the host that serves the request with the given id; "" if id is
// not a request id.
func HostOf(id string) string {
	rest, ok := strings.CutPrefix(id, idPrefix)
	if !ok || len(rest) <= uuidLen {
		return ""
	}
	return rest[:len(rest)-uuidLen-1]
}

// Registry holds requests in shards, each with its own lock.
type Registry struct {
	shards [numShards]shard
	count  atomic.Int64
}

type shard struct {
	mu    sync.Mutex
	live  map[string]*Entry
	ended []Request // a ring: the oldest is overwritten
	next  int
}

// Entry is one live request.
type Entry struct {
	reg    *Registry
	mu     sync.Mutex
	req    Request
	cancel context.CancelCauseFunc
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{}
	for i := range r.shards {
		r.shards[i].live = map[string]*Entry{}
	}
	return r
}

func (r *Registry) shard(id string) *shard { return &r.shards[xxhash.Sum64String(id)%numShards] }

// Begin registers a request. The returned context ends when the request is
// cancelled by its id or handed over. End must follow.
func (r *Registry) Begin(ctx context.Context, q Request) (context.Context, *Entry) {
	ctx, cancel := context.WithCancelCause(ctx)
	q.State = StateRunning
	e := &Entry{reg: r, req: q, cancel: cancel}
	s := r.shard(q.ID)
	s.mu.Lock()
	s.live[q.ID] = e
	s.mu.Unlock()
	r.count.Add(1)
	return ctx, e
}

// RecordDispatch records which attempt, at which upstream, serves the request.
func (e *Entry) RecordDispatch(upstream, attempt string) {
	e.mu.Lock()
	e.req.Upstream, e.req.Attempt = upstream, attempt
	e.mu.Unlock()
}

// End moves the request from the live to the ended requests.
func (e *Entry) End(state, code string) {
	e.mu.Lock()
	e.req.State, e.req.Code = state, code
	q := e.req
	e.mu.Unlock()
	e.cancel(nil)
	s := e.reg.shard(q.ID)
	s.mu.Lock()
	delete(s.live, q.ID)
	if len(s.ended) < maxEndedPerShard {
		s.ended = append(s.ended, q)
	} else {
		s.ended[s.next] = q
		s.next = (s.next + 1) % maxEndedPerShard
	}
	s.mu.Unlock()
	e.reg.count.Add(-1)
}

// LiveCount returns the number of requests being served.
func (r *Registry) LiveCount() int { return int(r.count.Load()) }

// Get returns a live or recently ended request. A team sees only its own; AllTeams
// sees all.
func (r *Registry) Get(id, team string) (Request, bool) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.live[id]; ok {
		q := e.snapshot()
		return q, q.visibleTo(team)
	}
	for _, q := range s.ended {
		if q.ID == id {
			return q, q.visibleTo(team)
		}
	}
	return Request{}, false
}

func (e *Entry) snapshot() Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.req
}

// List returns up to limit live requests of a team, or of AllTeams, oldest first.
func (r *Registry) List(team string, limit int) []Request {
	var out []Request
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, e := range s.live {
			if q := e.snapshot(); q.visibleTo(team) {
				out = append(out, q)
			}
		}
		s.mu.Unlock()
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Started.Before(out[j].Started) })
	return out[:min(limit, len(out))]
}

// Cancel ends a live request of a team, or of any with AllTeams, with the given
// cause. It reports whether there was one.
func (r *Registry) Cancel(id, team string, cause error) bool {
	s := r.shard(id)
	s.mu.Lock()
	e, ok := s.live[id]
	s.mu.Unlock()
	if !ok {
		return false
	}
	if q := e.snapshot(); !q.visibleTo(team) {
		return false
	}
	e.cancel(cause)
	return true
}

// HandOver ends every live request with ErrHandedOver and returns their number.
func (r *Registry) HandOver() int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, e := range s.live {
			e.cancel(ErrHandedOver)
			n++
		}
		s.mu.Unlock()
	}
	return n
}
