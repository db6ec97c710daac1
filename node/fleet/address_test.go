package fleet_test

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
)

// Guards against requests that are refused for another process with no line that names both:
// the process that listens at the address, and the one whose entry has not gone.
func TestUpstreamsAtOneAddressAreLogged(t *testing.T) {
	core, lines := observer.New(zap.DebugLevel)
	f := fleet.New(fleet.Config{}, fleet.Deps{Log: event.NewLog(zap.New(core))})
	at := func(id, address string) []deploy.Upstream {
		return []deploy.Upstream{{ID: id, Service: "s", Address: address}}
	}
	f.Apply(at("former", "127.0.0.1:1"), nil, 0)
	f.Apply(at("elsewhere", "127.0.0.1:2"), nil, 0)
	f.Apply(at("present", "127.0.0.1:1"), nil, 0)
	shared := lines.FilterMessage(event.UpstreamAddressShared.Name).All()
	assert.Equal(t, len(shared), 1)
	fields := shared[0].ContextMap()
	assert.Equal(t, fields[event.FieldPeer], "present")
	assert.Equal(t, fields["other"], "former")
	f.Apply(nil, []string{"former", "present"}, 0)
	f.Apply(at("third", "127.0.0.1:1"), nil, 0)
	assert.Equal(t, lines.FilterMessage(event.UpstreamAddressShared.Name).Len(), 1, "the others are out of use")
}
