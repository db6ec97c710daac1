package main

import (
	"context"
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

// outcome is what a client saw of one attempt.
type outcome struct {
	id     string
	status int // 0: the channel ended without an answer
	body   string
	sealed bool
	err    error
}

// client sends requests that may run at most once over a channel that it keeps.
type client struct {
	http *http.Client
	rec  *record
}

func newClient(rec *record) *client {
	return &client{rec: rec, http: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// send sends one attempt to a machine of the system and waits for its answer.
func (c *client) send(front, host, path string, budget time.Duration) outcome {
	o := outcome{id: fmt.Sprintf("%016x", rand.Uint64())}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	// An idle channel may be closed as the request is written. net/http would then send it
	// again by itself; without GetBody it cannot, so that each attempt is sent once.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, io.NopCloser(strings.NewReader("order "+o.id)))
	if err != nil {
		o.err = err
		return o
	}
	req.ContentLength = int64(len("order " + o.id))
	req.Host = host
	req.Header.Set("X-Request-Attempt-Id", o.id)
	req.Header.Set("X-Deadline-Remaining-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	c.rec.note("send     %s to %s", o.id, front)
	resp, err := c.http.Do(req)
	if err != nil {
		o.err = err
		c.rec.note("ended    %s without an answer: %v", o.id, err)
		return o
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	o.status, o.body, o.err, o.sealed = resp.StatusCode, string(body), err, resp.Header.Get("X-Server-Seal") != ""
	c.rec.note("answer   %s %d sealed=%v", o.id, o.status, o.sealed)
	return o
}

// outcomes collects what clients saw.
type outcomes struct {
	mu  sync.Mutex
	all []outcome
}

func (x *outcomes) add(o outcome) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.all = append(x.all, o)
}
