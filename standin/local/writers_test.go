package local_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/node/store"
	"peridotpier.example/standin/engine"
	"peridotpier.example/standin/local"
)

// Symptom: a note is packed twice, or its caller never gets an answer.
// Sequence: hosts forward their claims to other hosts, which write them; callers send
// each note through two hosts at once; a host that writes some of the claims dies.
// Cause: a claim is lost with its writer, or two hosts each write a claim for one key.
func TestClaimsThroughOtherHostsSurviveTheirWriter(t *testing.T) {
	forward := func(c *local.NodeConfig) { c.Policy.ForwardClaims = true }
	p := newFixture(t, engine.Config{}, forward)
	nodes := []*local.Node{p.node, p.startNode("n2"), p.startNode("n3")}
	var list []store.Host
	for i, n := range nodes {
		list = append(list, store.Host{Name: fmt.Sprintf("n%d", i+1), Address: n.PeerAddress(), DataCentre: "dc1", Role: store.RoleEntry, State: store.HostLive})
	}
	p.hosts.Set(list...)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range nodes {
			if len(n.LiveHosts()) != len(nodes) {
				return poll.Continue("%d members", len(n.LiveHosts()))
			}
		}
		return poll.Success()
	}, poll.WithTimeout(stepTimeout))

	const keys = 24
	var wg sync.WaitGroup
	for k := range keys {
		if k == keys/2 {
			wg.Go(nodes[2].Kill)
		}
		for _, n := range nodes[:2] {
			wg.Go(func() { awaitAnswer(t.Context(), n, k) })
		}
	}
	wg.Wait()
	answers := map[string]bool{}
	for k := range keys { // each key has its answer at either host
		r := awaitAnswer(t.Context(), nodes[k%2], k)
		assert.Equal(t, r.status, http.StatusOK, r.body)
		answers[r.body] = true
	}
	assert.Equal(t, len(answers), keys)
	ran := map[string]int{}
	for _, x := range p.svc.Executions() {
		ran[x.IdempotencyKey]++
	}
	assert.Equal(t, len(ran), keys)
	for key, times := range ran {
		assert.Equal(t, times, 1, key)
	}
	assert.NilError(t, nodes[1].Stop())
}

// awaitAnswer sends a note again until it is answered or refused without Retry-After, 200
// times at most.
func awaitAnswer(ctx context.Context, n *local.Node, key int) reply {
	var r reply
	for range 200 {
		r = noteVia(ctx, n, fmt.Sprint("key-", key))
		if r.err == nil && (r.status == http.StatusOK || !r.hasRetryAfter) {
			return r
		}
		time.Sleep(20 * time.Millisecond)
	}
	return r
}
