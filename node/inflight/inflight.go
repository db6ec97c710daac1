// Package inflight knows the requests that this host is serving and those it
// served last: for draining, for cancelling, and for showing to operators and
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

// ErrHandedOver is the cause of the end of a stream that outlived a graceful
// shutdown's bound: its caller takes it up again through another host.
var ErrHandedOver = errors.New("host is shutting down")

const (
	shards = 16
	// endedMost bounds the ended requests remembered in one shard.
	endedMost = 64
)

// Request is what is told of a request.
type Request struct {
	ID       string      `json:"id"`
	Team     string      `json:"team"`
	Target   string      `json:"target"` // model, adapter or service
	Class    class.Class `json:"class"`
	Started  time.Time   `json:"started"`
	State    string      `json:"state"` // "running" or the outcome
	Upstream string      `json:"upstream,omitempty"`
	Attempt  string      `json:"attempt,omitempty"`
	Code     string      `json:"code,omitempty"`
}

// AllTeams, in place of a team, stands for all; no team has an empty name.
const AllTeams = ""

// StateRunning is the state of a request that has not ended.
const StateRunning = "running"

// Ids are "r-<host>-<uuid>", so that any host knows where to ask for one.
const (
	idPrefix = "r-"
	uuidLen  = 36
)

// NewID makes the id of a new request on a host.
func NewID(host string) string { return idPrefix + host + "-" + uuid.NewString() }

// HostOf returns the host that serves a request; "" when id is not one.
func HostOf(id string) string {
	rest, ok := strings.CutPrefix(id, idPrefix)
	if !ok || len(rest) <= uuidLen {
		return ""
	}
	return rest[:len(rest)-uuidLen-1]
}

// Registry holds requests in shards, each under its own lock.
type Registry struct {
	parts [shards]shard
	count atomic.Int64
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

// New makes an empty registry.
func New() *Registry {
	r := &Registry{}
	for i := range r.parts {
		r.parts[i].live = map[string]*Entry{}
	}
	return r
}

func (r *Registry) shard(id string) *shard { return &r.parts[xxhash.Sum64String(id)%shards] }

// Begin registers a request; the returned context ends when it is cancelled
// by name or handed over. End must follow.
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

// RecordDispatch notes where the request's answer comes from.
func (e *Entry) RecordDispatch(upstream, attempt string) {
	e.mu.Lock()
	e.req.Upstream, e.req.Attempt = upstream, attempt
	e.mu.Unlock()
}

// End moves the request to those that ended.
func (e *Entry) End(state, code string) {
	e.mu.Lock()
	e.req.State, e.req.Code = state, code
	q := e.req
	e.mu.Unlock()
	e.cancel(nil)
	s := e.reg.shard(q.ID)
	s.mu.Lock()
	delete(s.live, q.ID)
	if len(s.ended) < endedMost {
		s.ended = append(s.ended, q)
	} else {
		s.ended[s.next] = q
		s.next = (s.next + 1) % endedMost
	}
	s.mu.Unlock()
	e.reg.count.Add(-1)
}

// LiveCount returns the number of requests being served.
func (r *Registry) LiveCount() int { return int(r.count.Load()) }

// Get finds a live or lately ended request. A team sees its own only; an
// empty team, which no caller has, sees all.
func (r *Registry) Get(id, team string) (Request, bool) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.live[id]; ok {
		q := e.snapshot()
		return q, team == "" || q.Team == team
	}
	for _, q := range s.ended {
		if q.ID == id {
			return q, team == "" || q.Team == team
		}
	}
	return Request{}, false
}

func (e *Entry) snapshot() Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.req
}

// List returns up to limit live requests of a team, or of all, oldest first.
func (r *Registry) List(team string, limit int) []Request {
	var out []Request
	for i := range r.parts {
		s := &r.parts[i]
		s.mu.Lock()
		for _, e := range s.live {
			if q := e.snapshot(); team == "" || q.Team == team {
				out = append(out, q)
			}
		}
		s.mu.Unlock()
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Started.Before(out[j].Started) })
	return out[:min(limit, len(out))]
}

// Cancel ends a live request of a team with the given cause; false when there is none.
func (r *Registry) Cancel(id, team string, cause error) bool {
	s := r.shard(id)
	s.mu.Lock()
	e, ok := s.live[id]
	s.mu.Unlock()
	if !ok || team != "" && e.snapshot().Team != team {
		return false
	}
	e.cancel(cause)
	return true
}

// HandOver ends every live request with ErrHandOver.
func (r *Registry) HandOver() int {
	n := 0
	for i := range r.parts {
		s := &r.parts[i]
		s.mu.Lock()
		for _, e := range s.live {
			e.cancel(ErrHandedOver)
			n++
		}
		s.mu.Unlock()
	}
	return n
}
