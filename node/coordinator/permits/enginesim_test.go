package permits

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/accounts"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/demand"
	"peridotpier.example/node/coordinator/reports"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
)

// engineSim is a simulation, in virtual time, of model engines that read prompts between
// the steps of their streams, of hosts in several data centres that ask for permits, and
// of the coordinator that grants them.
type engineSim struct {
	conf    simConfig
	random  *rand.Rand
	now     time.Time
	pending simEvents
	perms   *Permits
	host    *Stream
	engines []*simEngine
	models  []float64 // cumulative share of the requests
	all     []*simCall
	busy    time.Duration // of reading, over all engines
}

// simConfig is the load and the engines of one simulation.
type simConfig struct {
	seed        uint64
	perSecond   float64
	span        time.Duration // of arrivals
	engines     int
	models      int
	dataCentres int
	oneWay      time.Duration // between data centres
	off         bool          // the requests name no pause bound
}

const (
	simStep        = 8200 * time.Microsecond
	simTokensPerMs = 25.8
	simPairMs      = 0.55e-6 // of each pair of a prompt's tokens
	simChunk       = 4096    // prompt tokens that are read in one step at most
	simEventTokens = 3
	simPauseBound  = 400 * time.Millisecond
	simHostDelay   = 500 * time.Microsecond
	simNoisePeriod = 600 * time.Millisecond
)

// simCall is one request.
type simCall struct {
	id                 uint64
	model              string
	from               int // data centre of its host
	prompt, events     int
	objective, maxWait time.Duration
	priority           int32

	arrived, sentAt, firstAt, lastAt time.Time
	left, tokens                     int
	pause                            time.Duration
	refused, done                    bool
}

type simEngine struct {
	id      string
	at      int // data centre
	speed   float64
	slowed  float64
	waiting []*simCall
	running []*simCall
	steps   bool
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEvents struct {
	seq int
	all []simEvent
}

func (h *simEvents) Len() int { return len(h.all) }
func (h *simEvents) Less(i, j int) bool {
	if h.all[i].at.Equal(h.all[j].at) {
		return h.all[i].seq < h.all[j].seq
	}
	return h.all[i].at.Before(h.all[j].at)
}
func (h *simEvents) Swap(i, j int) { h.all[i], h.all[j] = h.all[j], h.all[i] }
func (h *simEvents) Push(x any)    { h.all = append(h.all, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := h.all[len(h.all)-1]
	h.all = h.all[:len(h.all)-1]
	return last
}

func (s *engineSim) after(d time.Duration, do func()) {
	s.pending.seq++
	heap.Push(&s.pending, simEvent{s.now.Add(max(d, 0)), s.pending.seq, do})
}

func newEngineSim(conf simConfig) *engineSim {
	s := &engineSim{conf: conf, random: rand.New(rand.NewPCG(conf.seed, 1)), now: time.Unix(1_700_000_000, 0)}
	s.host = &Stream{out: make(chan *coordpb.TurnAnswer, 1<<16), cancel: func() { panic("an answer is lost") }}
	f := fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return s.now }})
	f.Apply(s.upstreams(), nil, 0)
	config, log := follow.NewActiveConfig(event.NewLog(nil)), event.NewLog(nil)
	r := reports.New(reports.Config{RunsModels: func(string) bool { return false }})
	engine := &deploy.Engine{EventTokens: simEventTokens, CacheTokens: 116_448}
	s.perms = New(Deps{Fleet: f, Log: log, Reports: r, Accounts: accounts.New(accounts.Deps{Config: config, ReportingShare: r.ReportingShare}),
		Speeds: demand.NewSpeeds(), Engine: func(string) *deploy.Engine { return engine }, Now: func() time.Time { return s.now },
		Rand:      rand.New(rand.NewPCG(conf.seed, 2)).Float64, // apart, so that the load is the same with and without the way
		AfterFunc: func(d time.Duration, do func()) { s.after(d, func() { do(); s.deliver() }) }})
	return s
}

// upstreams gives each model engines in proportion to its share, two at least, and each
// engine two models.
func (s *engineSim) upstreams() []deploy.Upstream {
	c := s.conf
	shares, sum := make([]float64, c.models), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -0.5)
		sum += shares[i]
	}
	residents := make([][]deploy.Resident, c.engines)
	place, places, total := 0, 2*c.engines-2*c.models, 0.0
	order := slices.Concat(s.random.Perm(c.engines), s.random.Perm(c.engines))
	for i := range shares {
		total += shares[i] / sum
		s.models = append(s.models, total)
		model := "m" + strconv.Itoa(i)
		for range 2 + int(shares[i]/sum*float64(places)) {
			at := order[place%len(order)]
			residents[at] = append(residents[at], deploy.Resident{Model: model})
			place++
		}
	}
	var all []deploy.Upstream
	for i := range residents {
		e := &simEngine{id: "u" + strconv.Itoa(i), at: i % c.dataCentres, speed: []float64{1, 1, 1.3}[i%3], slowed: 1}
		s.engines = append(s.engines, e)
		s.after(0, func() { s.changeNoise(e) })
		all = append(all, deploy.Upstream{ID: e.id, Service: "s", Address: e.id, DataCentre: strconv.Itoa(e.at), Slots: 48, Residents: residents[i]})
	}
	return all
}

// changeNoise makes an engine's machine slow for one period in seven.
func (s *engineSim) changeNoise(e *simEngine) {
	e.slowed = 1
	if s.random.Float64() < 0.15 {
		e.slowed = 2.5
	}
	if s.now.Before(time.Unix(1_700_000_000, 0).Add(s.conf.span)) {
		s.after(time.Duration(s.random.ExpFloat64()*float64(simNoisePeriod)), func() { s.changeNoise(e) })
	}
}

// run plays the day to its end.
func (s *engineSim) run() {
	end := s.now.Add(s.conf.span)
	s.after(0, func() { s.arrive(end) })
	for s.pending.Len() > 0 {
		e := heap.Pop(&s.pending).(simEvent)
		s.now = e.at
		e.do()
	}
}

func (s *engineSim) arrive(end time.Time) {
	if s.now.After(end) {
		return
	}
	c := &simCall{id: uint64(len(s.all)), from: s.random.IntN(s.conf.dataCentres), arrived: s.now, objective: time.Second, events: 8, prompt: s.lognormal(1800, 6870), priority: 1}
	if s.random.Float64() < 0.2 {
		c.events, c.prompt, c.objective, c.priority = 57, s.lognormal(1110, 3790), 2500*time.Millisecond, 0
	}
	c.maxWait = c.objective * 8 / 10
	at, _ := slices.BinarySearch(s.models, s.random.Float64())
	c.model = "m" + strconv.Itoa(min(at, len(s.models)-1))
	s.all = append(s.all, c)
	s.toCoordinator(c, &coordpb.TurnEvent{Kind: coordpb.TurnEvent_ASK, Service: "s", Model: c.model, Prompt: uint32(c.prompt), Output: uint32(c.events * simEventTokens),
		Priority: c.priority, Reading: 2426, InTimeMs: uint32(c.objective.Milliseconds()), DataCentre: strconv.Itoa(c.from), PauseBoundMs: s.bound()})
	s.after(c.maxWait, func() { s.giveUp(c) })
	s.after(time.Duration(s.random.ExpFloat64()/s.conf.perSecond*float64(time.Second)), func() { s.arrive(end) })
}

func (s *engineSim) bound() uint32 {
	if s.conf.off {
		return 0
	}
	return uint32(simPauseBound.Milliseconds())
}

func (s *engineSim) lognormal(mean, most float64) int {
	return int(min(mean*math.Exp(s.random.NormFloat64()-0.4), most))
}

func (s *engineSim) giveUp(c *simCall) {
	if c.sentAt.IsZero() {
		c.refused = true
		s.toCoordinator(c, &coordpb.TurnEvent{Kind: coordpb.TurnEvent_END})
	}
}

// way is the time of a message between two data centres. The coordinator is in the first.
func (s *engineSim) way(from, to int) time.Duration {
	if from == to {
		return simHostDelay
	}
	return simHostDelay + s.conf.oneWay
}

func (s *engineSim) toCoordinator(c *simCall, e *coordpb.TurnEvent) {
	e.Id = c.id
	s.after(s.way(c.from, 0), func() {
		s.perms.Handle(s.host, e)
		s.deliver()
	})
}

// deliver sends the coordinator's answers to their hosts.
func (s *engineSim) deliver() {
	for {
		select {
		case a := <-s.host.out:
			c := s.all[a.Id]
			if a.Kind == coordpb.TurnAnswer_GRANTED {
				at, _ := strconv.Atoi(a.Upstream[1:])
				s.after(s.way(0, c.from), func() { s.dispatch(c, s.engines[at]) })
			}
		default:
			return
		}
	}
}

func (s *engineSim) dispatch(c *simCall, e *simEngine) {
	if c.refused {
		return
	}
	c.sentAt, c.left = s.now, c.prompt
	s.after(s.way(c.from, e.at), func() {
		e.waiting = append(e.waiting, c)
		if !e.steps {
			s.step(e)
		}
	})
}

// step begins an engine's next step.
func (s *engineSim) step(e *simEngine) {
	e.steps = len(e.waiting)+len(e.running) > 0
	if !e.steps {
		return
	}
	room, read := simChunk, 0
	var ready []*simCall
	for _, c := range e.waiting {
		n := min(room, c.left)
		room, read, c.left = room-n, read+n, c.left-n
		if c.left == 0 {
			ready = append(ready, c)
		}
	}
	e.waiting = e.waiting[len(ready):]
	reading := time.Duration((float64(read)/simTokensPerMs + float64(read)*float64(read)*simPairMs) * e.speed * e.slowed * float64(time.Millisecond))
	s.busy += reading
	s.after(reading+time.Duration(float64(simStep)*e.speed*e.slowed), func() {
		e.running = append(e.running, ready...)
		e.running = slices.DeleteFunc(e.running, func(c *simCall) bool { return s.token(c, e) })
		s.step(e)
	})
}

// token counts one token of a stream and reports whether it was the last.
func (s *engineSim) token(c *simCall, e *simEngine) (last bool) {
	c.tokens++
	if c.tokens%simEventTokens != 0 {
		return false
	}
	back := s.way(e.at, c.from)
	if c.tokens == simEventTokens {
		c.firstAt = s.now.Add(back)
		s.after(back, func() { s.toCoordinator(c, &coordpb.TurnEvent{Kind: coordpb.TurnEvent_FIRST}) })
	} else {
		c.pause = max(c.pause, s.now.Sub(c.lastAt))
	}
	c.lastAt = s.now
	if c.tokens < c.events*simEventTokens {
		return false
	}
	c.done = true
	s.after(back, func() { s.toCoordinator(c, &coordpb.TurnEvent{Kind: coordpb.TurnEvent_END, Complete: true}) })
	return true
}

// simResult sums up a simulation, as shares of all requests unless said otherwise.
type simResult struct {
	inAim, lateFirst, paused, refused float64
	pausedLong                        float64       // of the long streams
	heldMedian, heldP75               time.Duration // until a permit, of those that got one
	reading                           float64       // share of the engines' time
}

func (s *engineSim) result() (r simResult) {
	var held []time.Duration
	n, long := 1/float64(len(s.all)), 0.0
	for _, c := range s.all {
		if !c.sentAt.IsZero() {
			held = append(held, c.sentAt.Sub(c.arrived))
		}
		if c.events > 8 && c.done {
			long++
		}
		switch {
		case !c.done:
			r.refused += n
		case c.firstAt.Sub(c.arrived) > c.objective:
			r.lateFirst += n
		case c.pause > simPauseBound:
			r.paused += n
			if c.events > 8 {
				r.pausedLong++
			}
		default:
			r.inAim += n
		}
	}
	r.pausedLong /= long
	slices.Sort(held)
	r.heldMedian, r.heldP75 = held[len(held)/2], held[len(held)*3/4]
	r.reading = s.busy.Seconds() / (s.conf.span.Seconds() * float64(s.conf.engines))
	return r
}

// String returns a line of a table.
func (r simResult) String() string {
	return fmt.Sprintf("in aim %.3f, late first events %.3f, paused %.3f (long streams %.3f), refused %.3f, held %v at the median, %v at p75, reading for %.2f of the time",
		r.inAim, r.lateFirst, r.paused, r.pausedLong, r.refused, r.heldMedian.Round(time.Millisecond), r.heldP75.Round(time.Millisecond), r.reading)
}
