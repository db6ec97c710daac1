package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The case fatal-part: five requests with a part of a prompt that crashes engines come within
// a second. A second later all processes of the system are killed, and start again. When all
// machines are in touch again, requests with that part come one after the other.
const (
	enginesPerZone = 4
	machinesEach   = 2 // machines in each zone
	soundClients   = 24
	soundPause     = 500 * time.Millisecond
	streamBudget   = 5 * time.Second
	// stableWindow is stable_window_ms of the small deployment.
	stableWindow = 3 * time.Second
	// firstCrashes is how many crashes the first requests with the fatal part cause, and
	// firstPause the time between two of them.
	firstCrashes = 5
	firstPause   = 200 * time.Millisecond
	// killAfter is how long after the last of these crashes all processes are killed, and
	// restartAfter how much later the platform starts them.
	killAfter    = time.Second
	restartAfter = 500 * time.Millisecond
	// touchReserve is added to the time after which machines are in touch again.
	touchReserve = 7 * time.Second
	// laterRequests come one each laterPause.
	laterRequests = 12
	laterPause    = 600 * time.Millisecond
	// maxLate is how many requests with the part may reach runners late.
	maxLate = 3
	// minSound is how many sound requests must have been answered for the case to count.
	minSound = 200
)

func fatalPart(rec *record, dir string, withTrouble bool) (int, error) {
	store := newMetadataStore()
	address, err := store.serve()
	if err != nil {
		return noRun, err
	}
	all := &engines{store: store, rec: rec}
	var machineZones []string
	for _, zone := range zones {
		for range enginesPerZone {
			if _, err := all.startEngine("127.0.0.1:0", zone, false); err != nil {
				return noRun, err
			}
		}
		for range machinesEach {
			machineZones = append(machineZones, zone)
		}
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
	var whole, broke, refused atomic.Int64
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for i := range soundClients {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(soundPause/2 + rand.N(soundPause)):
				}
				switch sendPrompt(rec, d.machines[i%len(d.machines)].front, fmt.Sprintf("%08x:227", 0x50000000+rand.IntN(8))) {
				case http.StatusOK:
					whole.Add(1)
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					refused.Add(1)
				default:
					broke.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * stableWindow)
	var fatal sync.WaitGroup
	sendFatal := func(i int) {
		fatal.Go(func() { sendPrompt(rec, d.machines[i%len(d.machines)].front, fatalPartID+":227") })
	}
	sent := 0
	for ; all.crashCount() < firstCrashes && sent < 3*firstCrashes; sent++ {
		sendFatal(sent)
		time.Sleep(firstPause)
	}
	if all.crashCount() < firstCrashes {
		return noRun, fmt.Errorf("%d crashes by the first %d requests, want %d", all.crashCount(), sent, firstCrashes)
	}
	fifth := all.crashAt(firstCrashes)
	time.Sleep(time.Until(fifth.Add(killAfter)))
	if withTrouble {
		rec.note("trouble  all processes of the system are killed")
		for _, m := range d.machines {
			_ = m.cmd.Process.Kill()
		}
		for _, m := range d.machines {
			<-m.ended
		}
		time.Sleep(restartAfter)
		if err := d.startAll(startTimeout); err != nil {
			return noRun, err
		}
		rec.note("back     all machines are ready")
	}
	time.Sleep(stableWindow + touchReserve)
	inTouch := time.Now()
	if earliest := fifth.Add(stableWindow); inTouch.Before(earliest) {
		time.Sleep(time.Until(earliest))
		inTouch = earliest
	}
	rec.note("in touch all machines, later than stable_window_ms after the fifth crash")
	for i := range laterRequests {
		sendFatal(i)
		time.Sleep(laterPause)
	}
	time.Sleep(stableWindow)
	close(stop)
	senders.Wait()
	fatal.Wait()
	all.mu.Lock()
	defer all.mu.Unlock()
	late := 0
	for _, at := range all.fatal {
		if !at.Before(inTouch) {
			late++
		}
	}
	result := fmt.Sprintf("BUDGET: %d of %d later requests with the fatal part reached runners, %d allowed; %d crashes in all, by which %d sound requests broke off; sound: %d whole, %d refused, %d others",
		late, laterRequests, maxLate, len(all.crashes), all.lost, whole.Load(), refused.Load(), broke.Load())
	rec.note("result   %s", result)
	fmt.Println(result)
	if whole.Load() < minSound {
		return noRun, fmt.Errorf("%d sound requests were answered, want %d", whole.Load(), minSound)
	}
	if late > maxLate {
		return broken, nil
	}
	return held, nil
}

func (all *engines) crashCount() int {
	all.mu.Lock()
	defer all.mu.Unlock()
	return len(all.crashes)
}

// crashAt returns the time of the n-th crash, from 1.
func (all *engines) crashAt(n int) time.Time {
	all.mu.Lock()
	defer all.mu.Unlock()
	return all.crashes[n-1]
}

// sendPrompt sends a request with a shared first part, a second part and one of its own, and
// returns the status of its answer; 0: it broke off.
func sendPrompt(rec *record, front, second string) int {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), streamBudget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/quote/draft", io.NopCloser(bytes.NewReader([]byte("prompt "+id))))
	if err != nil {
		return 0
	}
	req.ContentLength, req.Host, req.Close = int64(len("prompt "+id)), routeHost, true
	for name, value := range map[string]string{"X-Request-Attempt-Id": id, "X-Model": engineModel, "X-Token-Counts": "868,22",
		"X-Prompt-Prefix": "5c1e07a2:341," + second + "," + id[:8] + ":300", "X-Deadline-Remaining-Ms": strconv.FormatInt(streamBudget.Milliseconds(), 10)} {
		req.Header.Set(name, value)
	}
	rec.note("send     %s to %s, second part %s", id, front, second)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		rec.note("ended    %s without an answer", id)
		return 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	rec.note("answer   %s %d, whole: %v", id, resp.StatusCode, err == nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}
