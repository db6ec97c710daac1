package host

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a host coordinating more hosts than its processor, link or memory
// can serve.
func TestSpareCapacityDependsOnTheNumberOfHosts(t *testing.T) {
	small, large := Limits{Cores: 0.192, LinkMbps: 20, MemoryMB: 184}, Limits{Cores: 0.8, CoreSpeed: 2, LinkMbps: 1000, MemoryMB: 1048}
	usual := Limits{Cores: 0.4, LinkMbps: 1000, MemoryMB: 284}
	assert.Assert(t, !hasSpareCapacity(small, 0) && !hasSpareCapacity(small, 986))
	assert.Assert(t, hasSpareCapacity(large, 986) && hasSpareCapacity(large, 2*986))
	assert.Assert(t, hasSpareCapacity(usual, 0) && hasSpareCapacity(usual, 300) && !hasSpareCapacity(usual, 986))
	for _, lacking := range []Limits{{Cores: 0.3, LinkMbps: 1000, MemoryMB: 1048}, {Cores: 1.6, LinkMbps: 20, MemoryMB: 1048}, {Cores: 1.6, LinkMbps: 1000, MemoryMB: 184}} {
		assert.Assert(t, !hasSpareCapacity(lacking, 986), "%+v", lacking)
	}
	assert.Assert(t, hasSpareCapacity(Limits{}, 986), "no resource is limited")
}
