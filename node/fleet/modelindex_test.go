package fleet_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
)

// Guards against an upstream that has a model resident and is not found under it.
func TestAnUpstreamIsFoundUnderEachResidentModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		f := fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return now }})
		models := []string{"a", "b", "c"}
		residents := func() (out []deploy.Resident) {
			for _, m := range models {
				if rapid.Bool().Draw(t, "holds "+m) {
					out = append(out, deploy.Resident{Model: m, Adapters: []string{"x"}})
				}
			}
			return out
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "upstream"))
			e, known := f.Entry(id)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				f.Apply([]deploy.Upstream{{ID: id, Service: "s", Address: id, State: deploy.Ready, Residents: residents(), Born: int64(rapid.IntRange(1, 2).Draw(t, "born"))}}, nil, 0)
			case 1:
				f.Apply(nil, []string{id}, 0)
			case 2:
				if known {
					f.ApplyResidency([]fleet.Residency{{Upstream: id, StartedMs: e.StartedMs(), Residents: residents()}}, now)
				}
			case 3:
				if known {
					e.AdapterLoaded("a", "y")
				}
			default:
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
				f.RunChecks()
			}
			for _, m := range models {
				found := f.EntriesWithModel("s", m)
				for _, e := range f.EntriesOfService("s") {
					if e.Endpoint(&fleet.Request{Model: m}, now).ModelResident {
						assert.Assert(t, slices.Contains(found, e), "%s of %s", m, e.ID())
					}
				}
				for _, e := range found {
					assert.Assert(t, slices.Contains(f.EntriesOfService("s"), e), "%s was forgotten", e.ID())
				}
			}
		}
	})
}
