package conn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/upstream/conn"
)

// carried counts the requests that come over a connection which has carried them before.
type carried struct {
	mu    sync.Mutex
	again int
}

func (s *carried) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	seen := map[string]bool{}
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		s.mu.Lock()
		if seen[id] {
			s.again++
		}
		s.mu.Unlock()
		seen[id] = true
		if _, err := io.WriteString(c, ok); err != nil {
			return
		}
	}
}

// Guards against a request that goes over a connection a second time, where a late answer to its
// earlier send names it: after a minute too, and behind however many others.
func TestNoConnectionCarriesARequestTwiceHoweverLongAgo(t *testing.T) {
	const dials = 40 // the repeats, and the connections that have grown too old
	for _, c := range []struct {
		name     string
		interval time.Duration // between two other requests
		between  int           // others between two sends of the request
	}{
		{"at once", 0, 0},
		{"after seconds", time.Second, 10},
		{"in the next minute", time.Second, 35},
		{"after a minute", time.Second, 70},
		{"after many minutes", time.Second, 400},
		{"behind a flood", time.Microsecond, 40_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &carried{}
				p := &pipes{serve: s.serve}
				client := conn.New(conn.Config{Dialer: p, MaxIdleTime: time.Hour})
				send := func(id string) {
					resp, err := client.Do(t.Context(), &conn.Request{ID: id, Address: "u", Method: "GET", Path: "/", Header: http.Header{"Id": {id}}})
					assert.NilError(t, err)
					_, err = resp.ReadAll(10)
					assert.NilError(t, err)
				}
				for round := range 4 {
					send("repeated")
					for i := range c.between {
						send(fmt.Sprint(round, "-", i))
						time.Sleep(c.interval)
					}
				}
				client.Close()
				assert.Equal(t, s.again, 0)
				made, _ := p.count()
				assert.Assert(t, made <= dials, "%d connections were opened", made)
			})
		})
	}
}
