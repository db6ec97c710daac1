package host

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a host that acts for more than its core, link or memory bears.
func TestAHostActsForAsManyAsItBears(t *testing.T) {
	small, large := Limits{Cores: 0.192, LinkMbps: 20, MemoryMB: 184}, Limits{Cores: 0.8, CoreSpeed: 2, LinkMbps: 1000, MemoryMB: 1048}
	usual := Limits{Cores: 0.4, LinkMbps: 1000, MemoryMB: 284}
	assert.Assert(t, !ample(small, 0) && !ample(small, 986))
	assert.Assert(t, ample(large, 986) && ample(large, 2*986))
	assert.Assert(t, ample(usual, 0) && ample(usual, 300) && !ample(usual, 986))
	for _, lacking := range []Limits{{Cores: 0.3, LinkMbps: 1000, MemoryMB: 1048}, {Cores: 1.6, LinkMbps: 20, MemoryMB: 1048}, {Cores: 1.6, LinkMbps: 1000, MemoryMB: 184}} {
		assert.Assert(t, !ample(lacking, 986), "%+v", lacking)
	}
	assert.Assert(t, ample(Limits{}, 986), "nothing is bounded")
}
