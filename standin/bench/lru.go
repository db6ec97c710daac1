package bench

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/route"
	"peridotpier.example/node/upstream/conn"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/node/upstream/orders"
	"peridotpier.example/standin/local"
)

// lru is the baseline that loads a model, with its adapters, when a request finds it resident
// nowhere, or only on engines that reported a full batch, and evicts the least recently used
// models to make room. One controller serves all hosts and reads the engines' true memory,
// which is not possible in a real deployment: this favours the baseline.
type lru struct {
	mu       sync.Mutex
	lastUsed map[string]time.Time // by "engine/model"
	wanted   chan string          // models to load
}

// maxWanted bounds the requests to load a model that wait for the controller.
const maxWanted = 256

// memoryPollInterval is the interval at which the controller checks memory that is being freed.
const memoryPollInterval = 50 * time.Millisecond

func newLRU() *lru {
	return &lru{lastUsed: map[string]time.Time{}, wanted: make(chan string, maxWanted)}
}

// requestLoad asks the controller to load the model of key. It does not block: if too many
// requests wait, this one is dropped.
func (l *lru) requestLoad(_ string, key route.ModelKey) {
	select {
	case l.wanted <- key.Model:
	default: // the next request for the model asks again
	}
}

// wrapPicker returns p as a picker that records which model is used on which engine.
func (l *lru) wrapPicker(p route.Picker) route.Picker { return recordingPicker{p, l} }

// recordingPicker records the use of models and requests loads of those on full engines.
type recordingPicker struct {
	route.Picker
	l *lru
}

// Pick implements route.Picker.
func (p recordingPicker) Pick(s *route.Snapshot, r *route.Request, src route.Source) route.Decision {
	d := p.Picker.Pick(s, r, src)
	if d.Index >= 0 && !r.PlainService {
		e := &s.Endpoints[d.Index]
		p.l.touch(e.Upstream, r.Key.Model)
		if e.Running+e.Waiting >= e.MaxBatch { // the least loaded engine with the model is full
			p.l.requestLoad(r.Pool, r.Key)
		}
	}
	return d
}

// touch records that a model is used on an engine now.
func (l *lru) touch(engine, model string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUsed[engine+"/"+model] = time.Now()
}

// lastUsedAt returns when a model was last used on an engine; zero: never.
func (l *lru) lastUsedAt(engine, model string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastUsed[engine+"/"+model]
}

// startController starts the controller. The returned function stops it and waits for its end.
func (l *lru) startController(r *local.RunningSite) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var loads sync.WaitGroup
	c := &controller{l: l, r: r, client: conn.New(conn.Config{})}
	c.orders = orders.New(c.client, c.address)
	loads.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case model := <-l.wanted:
				c.loadModel(ctx, model)
			}
		}
	})
	return func() {
		cancel()
		loads.Wait()
		c.client.Close()
	}
}

// controller loads models. It sends the orders of one load before it begins the next, so that
// no two loads count on the same free memory.
type controller struct {
	l      *lru
	r      *local.RunningSite
	client *conn.Client
	orders *orders.Sender
	serial int // of the last order
}

// address returns the address of an upstream, and false if there is none of the name.
func (c *controller) address(upstream string) (string, bool) {
	i := slices.IndexFunc(c.r.Upstreams.Config.Upstreams, func(u config.Upstream) bool { return u.Name == upstream })
	if i < 0 {
		return "", false
	}
	return c.r.Upstreams.Config.Upstreams[i].Address, true
}

// loadModel loads a model, with its adapters, on the engine whose eviction candidates are the
// least recently used, and unloads these first.
func (c *controller) loadModel(ctx context.Context, name string) {
	cfg := &c.r.Upstreams.Config
	i := slices.IndexFunc(cfg.Models, func(m config.Model) bool { return m.Name == name })
	if i < 0 || !c.needsLoad(name) {
		return
	}
	m, need := cfg.Models[i], cfg.Models[i].MemoryMB
	var adapters []config.Adapter
	for _, a := range cfg.Adapters {
		if a.Model == name {
			adapters = append(adapters, a)
			need += a.MemoryMB
		}
	}
	engine, victims := c.chooseEngine(name, need)
	if engine == "" {
		return
	}
	for _, v := range victims {
		c.send(ctx, engine, engineapi.Order{Kind: engineapi.OrderUnload, Model: v})
	}
	if !c.awaitFreeMemory(ctx, engine, need) {
		return
	}
	c.send(ctx, engine, engineapi.Order{Kind: engineapi.OrderLoad, Model: name, Version: m.Version, MemoryMB: m.MemoryMB})
	for _, a := range adapters {
		c.send(ctx, engine, engineapi.Order{Kind: engineapi.OrderLoadAdapter, Model: name, Adapter: a.Name, Version: a.Version, MemoryMB: a.MemoryMB})
	}
	c.l.touch(engine, name)
}

// needsLoad reports whether a model is loading nowhere and every engine on which it is
// resident is full.
func (c *controller) needsLoad(model string) bool {
	for _, e := range c.r.Upstreams.Engines {
		t := e.ActualState()
		for _, r := range t.Residents {
			if r.Model != model || r.Adapter != "" {
				continue
			}
			if r.State == engineapi.StateLoading || r.State == engineapi.StateReady && t.Running+t.Waiting < t.MaxBatch {
				return false
			}
		}
	}
	return true
}

// chooseEngine returns the engine without the model that can free the memory by evicting the
// least recently used models, and these models; "" if no engine can.
func (c *controller) chooseEngine(model string, need int) (engine string, victims []string) {
	var bestUse time.Time
	for _, e := range c.r.Upstreams.Engines {
		t := e.ActualState()
		if slices.ContainsFunc(t.Residents, func(r engineapi.Resident) bool { return r.Model == model }) {
			continue
		}
		candidates, newest, ok := c.evictionCandidates(&t, need)
		if ok && (engine == "" || newest.Before(bestUse)) {
			engine, victims, bestUse = t.Upstream, candidates, newest
		}
	}
	return engine, victims
}

// evictionCandidates returns the models to unload, least recently used first, so that an
// engine has need MB free, when the last of them was used, and whether that frees enough.
func (c *controller) evictionCandidates(t *engineapi.Report, need int) (candidates []string, newest time.Time, ok bool) {
	free, size := t.MemoryMB, map[string]int{}
	var models []string
	for _, r := range t.Residents {
		free -= r.MemoryMB
		size[r.Model] += r.MemoryMB
		if r.Adapter == "" && r.State == engineapi.StateReady {
			models = append(models, r.Model)
		}
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Compare(c.l.lastUsedAt(t.Upstream, a).UnixNano(), c.l.lastUsedAt(t.Upstream, b).UnixNano())
	})
	for _, m := range models {
		if free >= need {
			break
		}
		free += size[m]
		candidates, newest = append(candidates, m), c.l.lastUsedAt(t.Upstream, m)
	}
	return candidates, newest, free >= need
}

// awaitFreeMemory waits until an engine has need MB free. It returns false if ctx ends first
// or there is no such engine.
func (c *controller) awaitFreeMemory(ctx context.Context, engine string, need int) bool {
	e, err := c.r.Upstreams.Engine(engine)
	if err != nil {
		return false
	}
	for {
		if t := e.ActualState(); t.MemoryMB-t.UsedMB >= need {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(memoryPollInterval):
		}
	}
}

// send sends an order. A failure is ignored: the next request for the model has it loaded again.
func (c *controller) send(ctx context.Context, engine string, o engineapi.Order) {
	c.serial++
	o.Op = "lru-" + strconv.Itoa(c.serial)
	o.Epoch = 1
	_, _ = c.orders.Send(ctx, engine, o)
}
