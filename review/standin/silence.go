package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The case silence: now and then a sound engine falls silent for a second and goes on. Streams
// run there that may be resumed. Most engines drop a request when its channel closes; a third
// of these do not.
const (
	silenceLength = time.Second
	silenceEvery  = 4 * time.Second
	silenceRounds = 18
	overlapMax    = 400 * time.Millisecond // of TWICE
	resumedPath   = "/shade/"
	stepTime      = 60 * time.Millisecond // of an event of two tokens, with prompts read in between
	shadeRate     = 8                     // requests a second; shade-match has 3.7, and 11 in its largest burst
	minEvents     = 30
	maxEvents     = 45 // the largest answer of shade-match
)

// work is one run of a request at an engine, from its first step to its last.
type work struct {
	engine      string
	first, last time.Time
	steps       int
}

// works are the runs of each request in the order in which they came to an engine.
type works struct {
	mu  sync.Mutex
	all map[string][]*work
}

func (w *works) begin(id, engine string) *work {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := &work{engine: engine}
	w.all[id] = append(w.all[id], x)
	return x
}

func (w *works) step(x *work) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if x.steps == 0 {
		x.first = now
	}
	x.last = now
	x.steps++
}

// steadyEngine is an engine whose output stops now and then, for all requests at once, while
// it works on.
type steadyEngine struct {
	rec               *record
	works             *works
	id, zone, address string
	drops             bool // it drops a request when it notices that the channel is closed

	mu       sync.Mutex
	silentTo time.Time
	running  int
}

// fallSilent stops the engine's output for a while.
func (e *steadyEngine) fallSilent(length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentTo = time.Now().Add(length)
}

// awaitOutput waits until the engine is not silent.
func (e *steadyEngine) awaitOutput() {
	for {
		e.mu.Lock()
		left := time.Until(e.silentTo)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func startSteadyEngine(store *metadataStore, rec *record, w *works, i int) (*steadyEngine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &steadyEngine{rec: rec, works: w, id: fmt.Sprintf("i-%08x", 0xe0000001+i), zone: zones[i%len(zones)], address: ln.Addr().String(), drops: i%3 != 0}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.report)
	mux.HandleFunc("POST /-/order", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }) // it holds the one model that there is
	mux.HandleFunc("/", e.serve)
	go func() { _ = (&http.Server{Handler: mux}).Serve(ln) }()
	store.put("servers", e.id, map[string]any{"service": engineService, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots,
		"state": "ready", "cold_remaining_ms": 0, "stage": "both", "models": e.models(), "sequence": 1})
	return e, nil
}

func (e *steadyEngine) models() []any {
	return []any{map[string]any{"name": engineModel, "version": 1, "adapters": []string{}}}
}

func (e *steadyEngine) report(w http.ResponseWriter, _ *http.Request) {
	e.awaitOutput()
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"stage": "both", "models": e.models(), "busy": false, "sequence": 0, "waiting": 0,
		"running": e.running, "kv_cache_used": 2400 * e.running, "kv_cache_total": 132340, "handles": 0, "coming": []string{}})
}

// serve runs a request: it reads the prompt and makes the events, and writes them unless the
// engine is silent.
func (e *steadyEngine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.running++
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", e.running, engineSlots))
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	tokens, _, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	prompt, _ := strconv.Atoi(tokens)
	total, _ := strconv.Atoi(r.URL.Query().Get("events"))
	e.rec.note("arrives  %s at %s, after event %d", id, e.id, last)
	run := e.works.begin(id, e.id)
	stop, events := make(chan struct{}), make(chan int, total+1)
	defer close(stop)
	go func() { // the engine's work, which its silence does not stop
		defer close(events)
		time.Sleep(time.Duration(float64(prompt) / promptTokensMs * float64(time.Millisecond)))
		for i := last + 1; i <= total; i++ {
			select {
			case <-stop:
				return
			default:
			}
			e.works.step(run)
			events <- i
			time.Sleep(stepTime)
		}
	}()
	w.Header().Set("X-Request-Attempt-Id", id)
	w.Header().Set("X-Server-Seal", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	closed := false
	for i := range events {
		e.awaitOutput()
		if !closed && r.Context().Err() == nil {
			_, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i)
			closed = err != nil || rc.Flush() != nil
		}
		if closed = closed || r.Context().Err() != nil; closed && e.drops {
			e.rec.note("dropped  %s at %s before event %d", id, e.id, i)
			return
		}
	}
	e.rec.note("ended    %s at %s", id, e.id)
}

func silence(rec *record, dir string, withTrouble bool) (int, error) {
	store := newMetadataStore()
	address, err := store.serve()
	if err != nil {
		return noRun, err
	}
	w := &works{all: map[string][]*work{}}
	var engines []*steadyEngine
	for i := range 9 {
		e, err := startSteadyEngine(store, rec, w, i)
		if err != nil {
			return noRun, err
		}
		engines = append(engines, e)
	}
	store.put("op", "config", engineConfig())
	d, err := newDeployment(dir, address, zones)
	if err != nil {
		return noRun, err
	}
	defer d.stopAll()
	if err := d.startAll(startTimeout); err != nil {
		return noRun, err
	}
	time.Sleep(5 * time.Second) // all machines are in touch
	if withTrouble {
		go func() {
			for i := range silenceRounds {
				time.Sleep(silenceEvery)
				e := engines[i%len(engines)]
				rec.note("silent   %s for %v", e.id, silenceLength)
				e.fallSilent(silenceLength)
			}
		}()
	}
	ends := sendStreams(rec, d, silenceEvery*silenceRounds+time.Second)
	for k, n := range ends {
		rec.note("ends     %d %s", n, k)
	}
	if ends["200, whole"] == 0 {
		return noRun, fmt.Errorf("no stream was served")
	}
	return w.judge(rec), nil
}

// judge checks TWICE: a request goes on at another runner while the runner before still works
// on it 400 ms later.
func (w *works) judge(rec *record) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	moved, twice := 0, 0
	for id, runs := range w.all {
		for i := 1; i < len(runs); i++ {
			former, next := runs[i-1], runs[i]
			if former.steps == 0 || next.steps == 0 {
				continue
			}
			moved++
			if over := former.last.Sub(next.first); over > overlapMax {
				twice++
				rec.note("twice    %s: %s still worked on it %v after it had gone on at %s", id, former.engine, over.Round(time.Millisecond), next.engine)
			}
		}
	}
	rec.note("requests that went on at another runner: %d; the runner before still worked on %d of them more than %v later", moved, twice, overlapMax)
	fmt.Println("went on at another runner:", moved, "worked on at both:", twice)
	if twice > 0 {
		return broken
	}
	return held
}

// sendStreams sends streams to all machines for some time and counts how they end.
func sendStreams(rec *record, d *deployment, length time.Duration) map[string]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	until := time.Now().Add(length)
	for n := 0; time.Now().Before(until); n++ {
		wg.Go(func() {
			end := sendStream(rec, d.machines[n%len(d.machines)].front, n, minEvents+rand.IntN(maxEvents-minEvents+1))
			mu.Lock()
			ends[end]++
			mu.Unlock()
		})
		time.Sleep(time.Second / shadeRate)
	}
	wg.Wait()
	return ends
}

func sendStream(rec *record, front string, n, events int) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	req, err := http.NewRequest(http.MethodPost, "http://"+front+resumedPath+"a?events="+strconv.Itoa(events), strings.NewReader("prompt "+id))
	if err != nil {
		return err.Error()
	}
	req.Host = routeHost
	req.Header.Set("X-Request-Attempt-Id", id)
	req.Header.Set("X-Deadline-Remaining-Ms", "8000")
	req.Header.Set("X-Model", engineModel)
	req.Header.Set("X-Token-Counts", "2368,90")
	req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("aa01:341,aa02:227,%08x:1800", n))
	rec.note("send     %s to %s, %d events", id, front, events)
	c := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		rec.note("answer   %s none: %v", id, err)
		return "no answer"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	got := strings.Count(string(body), "id: ")
	rec.note("answer   %s %d, %d events, %v", id, resp.StatusCode, got, err)
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(body)))
	}
	if err != nil || got != events {
		return "200, broken off"
	}
	return "200, whole"
}
