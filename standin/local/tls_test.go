package local_test

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
	"peridotpier.example/standin/engine"
	"peridotpier.example/standin/local"
	"peridotpier.example/standin/pki"
)

// Symptom: with TLS the hosts do not connect to one another, or a host with a certificate
// of another authority joins them.
// Sequence: a host starts, reads the platform's list and dials the listed host.
// Cause: neither side checks certificates, or a side refuses a valid one.
func TestOnlyHostsOfOneAuthorityLink(t *testing.T) {
	ours, err := pki.New("ours")
	assert.NilError(t, err)
	stranger, err := pki.New("stranger")
	assert.NilError(t, err)
	core, logs := observer.New(zapcore.DebugLevel)
	authority := ours
	p := newFixture(t, engine.Config{}, func(c *local.NodeConfig) {
		c.Files, c.Log = local.NewKeyFiles(), zap.New(core).With(zap.String("on", c.Settings.Host))
		assert.NilError(t, local.EnableTLS(c.Settings, c.Files, authority))
	})
	p.hosts.Set(store.Host{Name: "n1", Address: p.node.PeerAddress(), DataCentre: "dc1", Role: store.RoleEntry, State: store.HostLive})
	second := p.startNode("n2")
	defer func() { assert.NilError(t, second.Stop()) }()
	linked := func(n *local.Node) bool {
		for _, q := range n.Status().Peers {
			if q.Linked {
				return true
			}
		}
		return false
	}
	awaitTrue := func(done func() bool, what string) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !done() {
				return poll.Continue("%s", what)
			}
			return poll.Success()
		})
	}
	awaitTrue(func() bool { return linked(p.node) && linked(second) }, "the two hosts are not linked")

	authority = stranger
	third := p.startNode("n3")
	defer func() { assert.NilError(t, third.Stop()) }()
	awaitTrue(func() bool {
		for _, e := range logs.FilterField(zap.String("on", "n3")).All() {
			if e.ContextMap()[event.FieldEvent] == int64(event.PeerCertRefused.Number) {
				return true
			}
		}
		return false
	}, "n3 did not refuse the certificate of another authority")
	assert.Assert(t, !linked(third))
}
