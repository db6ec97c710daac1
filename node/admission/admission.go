// Package admission executes the decisions of core/admit: requests wait until they
// get a slot, those that can no longer be served in time are refused, and the teams'
// limits apply. Each pool and each team has state of its own under a lock of its
// own. Lock order: the controller's maps, then one pool or one team; never two pools.
package admission

import (
	"context"
	"sync"
	"time"

	"peridotpier.example/core/admit"
	"peridotpier.example/core/class"
	"peridotpier.example/core/config"
	"peridotpier.example/core/fault"
)

// expiryInterval is the time between two checks for queued requests that can no
// longer meet their deadline. It bounds how long such a request waits for its refusal.
const expiryInterval = 100 * time.Millisecond

// Config configures a Controller.
type Config struct {
	Preset  config.Preset
	Classes []config.ClassRule
	Teams   []config.Team
	Slots   map[string]int // this host's slots by pool, see admit.HostSlots
	Hosts   int            // number of entry hosts, this one included
}

// Request is one request to be admitted.
type Request struct {
	Team        string
	Class       class.Class
	Pool        string
	Deadline    time.Time     // zero: none
	MinDuration time.Duration // minimum time that it takes once dispatched; 0: unknown
}

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	mu    sync.RWMutex
	cfg   Config
	pools map[string]*pool
	teams map[string]*team
}

// New returns a controller. The caller must run Run.
func New(cfg Config) *Controller {
	c := &Controller{pools: map[string]*pool{}, teams: map[string]*team{}}
	c.Reconfigure(cfg)
	return c
}

// Run refuses queued requests that can no longer meet their deadline, at intervals
// until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			for _, p := range c.allPools() {
				p.expire(now)
			}
		}
	}
}

// Reconfigure puts a new preset, configuration or capacity in force. Admitted
// requests keep their slots.
func (c *Controller) Reconfigure(cfg Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.cfg = cfg
	for name := range cfg.Slots {
		c.poolLocked(name)
	}
	for name, p := range c.pools {
		p.setPolicy(now, admit.NewPolicy(cfg.Preset, cfg.Classes, cfg.Slots[name]))
	}
	c.setTeamsLocked(now)
}

func (c *Controller) setTeamsLocked(now time.Time) {
	listed := map[string]bool{}
	for _, t := range c.cfg.Teams {
		listed[t.Name] = true
		if known := c.teams[t.Name]; known != nil {
			known.reconfigure(t)
			continue
		}
		c.teams[t.Name] = newTeam(t, c.cfg.Hosts, now)
	}
	for name := range c.teams {
		if !listed[name] {
			delete(c.teams, name)
		}
	}
}

// SetCapacity changes this host's slots in one pool.
func (c *Controller) SetCapacity(name string, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poolLocked(name).setPolicy(time.Now(), admit.NewPolicy(c.cfg.Preset, c.cfg.Classes, slots))
}

// SetPeerTeamUsage sets the total demand of a team at the other hosts, and the number
// of entry hosts.
func (c *Controller) SetPeerTeamUsage(name string, rps, concurrent float64, hosts int) {
	if t := c.team(name); t != nil {
		t.setPeerUsage(rps, concurrent, hosts)
	}
}

// TeamUsage returns the demand of a team at this host, to be reported to its peers.
func (c *Controller) TeamUsage(name string) (rps, concurrent float64) {
	if t := c.team(name); t != nil {
		return t.demand(time.Now())
	}
	return 0, 0
}

// Admit waits until the request may be dispatched. The caller must release the ticket.
// Every error is a *fault.Error with the outcome that the request did not run.
func (c *Controller) Admit(ctx context.Context, r Request) (*Ticket, error) {
	t, p := c.team(r.Team), c.pool(r.Pool)
	if t == nil {
		return nil, fault.NotRun(fault.StepAdmit, "", fault.CodeInvalidAPIKey, "team %q is not configured", r.Team)
	}
	if p == nil {
		return nil, refusalError(admit.Refusal{Cause: admit.CauseNoCapacity, RetryAfter: time.Second}, r)
	}
	arrivedAt := time.Now()
	weight, ok, wait := t.take(arrivedAt)
	if !ok {
		return nil, fault.NotRun(fault.StepAdmit, "", fault.CodeTeamLimit, "team is over its limit").WithRetryAfter(wait)
	}
	if err := p.admit(ctx, r, weight); err != nil {
		t.cancel()
		return nil, err
	}
	return &Ticket{pool: p, team: t, request: r, arrivedAt: arrivedAt, admittedAt: time.Now()}, nil
}

// PoolLoad is the admission state of one pool, for queries and metrics.
type PoolLoad struct {
	Used    [class.Count]int // slots in use
	Waiting [class.Count]int // queued requests
}

// PoolLoad returns the admission state of a pool; zero for an unknown one.
func (c *Controller) PoolLoad(name string) PoolLoad {
	if p := c.pool(name); p != nil {
		return p.load()
	}
	return PoolLoad{}
}

func (c *Controller) pool(name string) *pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.pools[name]
}

func (c *Controller) team(name string) *team {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.teams[name]
}

func (c *Controller) allPools() []*pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		out = append(out, p)
	}
	return out
}

// poolLocked returns a pool, and creates it if there is none.
func (c *Controller) poolLocked(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = newPool()
		c.pools[name] = p
	}
	return p
}
