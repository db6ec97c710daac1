package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The case take-up: many processes of the system are killed at the same moment. Callers whose
// streams broke off take them up at the machines that are left.
const (
	takeUpEngines = 3 // in each zone
	machinesLeft  = 2 // of six
	takeUpClients = 64
	takeUpPause   = 100 * time.Millisecond
	takeUpTries   = 3 // that a caller makes to take a stream up
	takeUpTraffic = 8 * time.Second
	takeUpAfter   = 4 * time.Second
	minTakeUps    = 12 // below which the rule says nothing
	// streamsTable is where the system writes what it knows of streams, each half a second, and
	// sinceItsWrite is how long after such a write the processes are killed.
	streamsTable  = "streams"
	sinceItsWrite = 350 * time.Millisecond
	maxWaitWrite  = 10 * time.Second
)

// stream is what a caller saw of one stream.
type stream struct {
	began, whole     bool
	afterKill        bool // it was new, and sent after the kill to a machine in touch
	takenUp, goes    bool
	attempts, events int
}

// attempt sends one try of a stream and returns the status, the number of the last event, and
// whether the stream was whole.
func attempt(base context.Context, rec *record, front, resumes string, last int) (id string, status, event int, whole bool, retryAfter time.Duration) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(base, streamBudget)
	defer cancel()
	body := []byte("prompt " + id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/shade/match", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return id, 0, last, false, 0
	}
	req.ContentLength, req.Host, req.Close = int64(len(body)), routeHost, true
	for name, value := range map[string]string{"X-Request-Attempt-Id": id, "X-Model": engineModel, "X-Token-Counts": "868,22",
		"X-Prompt-Prefix": "5c1e07a2:341,7d3f1b55:227," + id[:8] + ":300", "X-Deadline-Remaining-Ms": strconv.FormatInt(streamBudget.Milliseconds(), 10)} {
		req.Header.Set(name, value)
	}
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	rec.note("send     %s to %s, resumes %q after %d", id, front, resumes, last)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		rec.note("ended    %s without an answer", id)
		return id, 0, last, false, 0
	}
	defer resp.Body.Close()
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	event = last
	if resp.StatusCode == http.StatusOK {
		lines := bufio.NewScanner(resp.Body)
		n := 0
		for lines.Scan() {
			if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
				n, _ = strconv.Atoi(v)
			}
			if lines.Text() == "" {
				event = n
			}
		}
		err = lines.Err()
	} else {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	whole = resp.StatusCode == http.StatusOK && err == nil && event == streamEvents
	rec.note("answer   %s %d, last event %d, whole: %v", id, resp.StatusCode, event, whole)
	return id, resp.StatusCode, event, whole, time.Duration(after * float64(time.Second))
}

// takeUpPlay is the state of the case.
type takeUpPlay struct {
	rec  *record
	d    *deployment
	mu   sync.Mutex
	left []*machine // the machines that are left; none: all run
	all  []stream
	calm context.Context // of the streams that callers begin; without the disruption it ends instead
}

// front returns where a caller sends a try: to its own machine, while that runs.
func (p *takeUpPlay) front(own int) (front string, killed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.left) > 0 { // all others were killed, or the callers go on there
		return p.left[own%len(p.left)].front, true
	}
	return p.d.machines[own%len(p.d.machines)].front, false
}

// one sends a stream, and takes it up if it breaks off.
func (p *takeUpPlay) one(own int) {
	front, killed := p.front(own)
	s := stream{afterKill: killed}
	base := p.calm
	if killed {
		base = context.Background()
	}
	first, status, event, whole, _ := attempt(base, p.rec, front, "", 0)
	s.began, s.whole = status == http.StatusOK && event > 0, whole
	if s.began && !whole {
		if front, killed = p.front(own); killed {
			s.takenUp = true
			for s.attempts < takeUpTries && !s.goes {
				s.attempts++
				_, st, ev, _, after := attempt(context.Background(), p.rec, front, first, event)
				s.goes = st == http.StatusOK && ev > event
				if !s.goes {
					time.Sleep(after)
				}
			}
			p.rec.note("take-up  %s after event %d, tries %d, goes on: %v", first, event, s.attempts, s.goes)
		}
	}
	p.mu.Lock()
	p.all = append(p.all, s)
	p.mu.Unlock()
}

// recordsKept returns how many streams' records a machine keeps, by its metrics.
func recordsKept(m *machine) (int, error) {
	resp, err := http.Get("http://" + m.ip + ":9464/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if f := strings.Fields(lines.Text()); len(f) == 2 && strings.Contains(f[0], "stream_origins") {
			return strconv.Atoi(f[1])
		}
	}
	return 0, fmt.Errorf("%s tells no number of records", m.name)
}

// leastRecords returns the machinesLeft machines with the fewest records.
func (p *takeUpPlay) leastRecords() ([]*machine, error) {
	kept := map[*machine]int{}
	for _, m := range p.d.machines {
		n, err := recordsKept(m)
		if err != nil {
			return nil, err
		}
		p.rec.note("records  %s keeps %d", m.name, n)
		kept[m] = n
	}
	all := slices.Clone(p.d.machines)
	slices.SortFunc(all, func(a, b *machine) int { return kept[a] - kept[b] })
	return all[:machinesLeft], nil
}

// waitForWrite waits until a time between two writes of the system to streamsTable.
func (p *takeUpPlay) waitForWrite(store *metadataStore) {
	for until := time.Now().Add(maxWaitWrite); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if since := store.sinceWrite(streamsTable); since >= sinceItsWrite && since < sinceItsWrite+50*time.Millisecond {
			return
		}
	}
}

func names(all []*machine) string {
	var out []string
	for _, m := range all {
		out = append(out, m.name)
	}
	return strings.Join(out, " and ")
}

func takeUp(rec *record, dir string, withTrouble bool) (int, error) {
	store := newMetadataStore()
	address, err := store.serve()
	if err != nil {
		return noRun, err
	}
	all := &engines{store: store, rec: rec}
	var machineZones []string
	for _, zone := range zones {
		for range takeUpEngines {
			if _, err := all.startEngine("127.0.0.1:0", zone, false); err != nil {
				return noRun, err
			}
		}
		machineZones = append(machineZones, zone, zone)
	}
	store.put("op", "config", engineConfig())
	d, err := newDeployment(dir, address, machineZones)
	if err != nil {
		return noRun, err
	}
	defer d.stopAll()
	if err := d.startAll(startTimeout); err != nil {
		return noRun, err
	}
	time.Sleep(beforeTraffic)
	calm, closeAll := context.WithCancel(context.Background())
	defer closeAll()
	p := &takeUpPlay{rec: rec, d: d, calm: calm}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for i := range takeUpClients {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(takeUpPause/2 + rand.N(takeUpPause)):
				}
				p.one(i)
			}
		})
	}
	time.Sleep(takeUpTraffic)
	left, err := p.leastRecords()
	if err != nil {
		return noRun, err
	}
	p.waitForWrite(store)
	p.mu.Lock()
	p.left = left
	p.mu.Unlock()
	if withTrouble {
		rec.note("trouble  all processes but those of %s are killed at the same moment", names(left))
		for _, m := range d.machines {
			if !slices.Contains(left, m) {
				_ = m.cmd.Process.Kill()
			}
		}
	} else {
		rec.note("calm     all callers close their channels and go on at %s", names(left))
		closeAll()
	}
	time.Sleep(takeUpAfter)
	close(stop)
	senders.Wait()
	return p.judge()
}

// judge checks the rule LOST for streams that are taken up.
func (p *takeUpPlay) judge() (int, error) {
	takenUp, goes, fresh, began, whole := 0, 0, 0, 0, 0
	for _, s := range p.all {
		if s.whole {
			whole++
		}
		if s.takenUp {
			takenUp++
			if s.goes {
				goes++
			}
		}
		if s.afterKill {
			fresh++
			if s.began {
				began++
			}
		}
	}
	result := fmt.Sprintf("LOST: %d of %d streams that were taken up go on; %d of %d new streams begin at the machines that are left; %d streams in all, %d whole", goes, takenUp, began, fresh, len(p.all), whole)
	p.rec.note("result   %s", result)
	fmt.Println(result)
	switch {
	case whole < minSound:
		return noRun, fmt.Errorf("%d streams were whole, want %d", whole, minSound)
	case takenUp < minTakeUps || fresh == 0:
		return held, nil
	case float64(goes)/float64(takenUp) < float64(began)/float64(fresh)/2:
		return broken, nil
	}
	return held, nil
}
