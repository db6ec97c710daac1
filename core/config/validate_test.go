package config_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"peridotpier.example/core/config"
)

func example(t testing.TB, site string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + site + "/config.json")
	assert.NilError(t, err)
	return data
}

func TestExamplesAreValidAndHaveTheirSizes(t *testing.T) {
	for _, want := range []struct {
		site, pool, service                  string
		centres                              []string
		runners, instances, models, adapters int
		weights                              config.WeightStore
	}{
		{"taipei", "shared-lm", "registry-query", []string{"neihu", "banqiao", "xinyi"}, 12, 3, 26, 64,
			config.WeightStore{LoadsPerSecond: 1.5, Concurrent: 16, MBPerSecond: 4000}},
		{"kathmandu", "order-desk", "stock-lookup", []string{"balaju", "campus", "thapathali"}, 9, 3, 18, 41,
			config.WeightStore{LoadsPerSecond: 1, Concurrent: 2, MBPerSecond: 2000}},
	} {
		t.Run(want.site, func(t *testing.T) {
			c, faults := config.Parse(example(t, want.site))
			assert.Equal(t, len(faults), 0, "%v", faults)
			count := map[string]int{}
			for _, u := range c.Upstreams {
				count[u.Pool]++
			}
			assert.Equal(t, count[want.pool], want.runners)
			assert.Equal(t, count[want.service], want.instances)
			assert.Equal(t, len(c.Models), want.models)
			assert.Equal(t, len(c.Adapters), want.adapters)
			assert.Equal(t, c.WeightStore, want.weights)
			assert.DeepEqual(t, c.DataCentres, want.centres)
			x := config.NewIndex(c)
			for _, p := range []string{"ordinary", "peak", "maintenance"} {
				_, ok := x.Preset(p)
				assert.Assert(t, ok, p)
			}
			p := config.Pack(c, want.pool)
			assert.Assert(t, p.CapacityMB < 2*p.RequiredMB, "two replicas of each must not fit: %d of %d MB", p.RequiredMB, p.CapacityMB)
		})
	}
}

func TestFaultsNamePathAndNumbers(t *testing.T) {
	type m = map[string]any
	item := func(doc m, list string, i int) m { return doc[list].([]any)[i].(m) }
	for _, c := range []struct {
		name   string
		change func(doc m)
		want   []string
	}{
		{"unknown field", func(d m) { item(d, "models", 3)["memory"] = 1 }, []string{`models[3].memory: unknown field "memory"`}},
		{"field in other case", func(d m) { d["Site"] = "x" }, []string{`Site: unknown field "Site"`}},
		{"wrong types", func(d m) { item(d, "models", 0)["memory_mb"] = "12"; d["limits"] = []any{} },
			[]string{"limits: is a list, must be an object", "models[0].memory_mb: is a string, must be a whole number"}},
		{"fraction", func(d m) { item(d, "models", 0)["memory_mb"] = 1.5 }, []string{"models[0].memory_mb: is 1.5, must be a whole number"}},
		{"null", func(d m) { d["limits"] = nil; d["teams"] = nil }, []string{"limits: is null, must be an object"}},
		{"overflow", func(d m) { item(d, "models", 0)["memory_mb"] = int64(1) << 62 }, []string{"models[0].memory_mb: is 4611686018427387904, must be from 1 to 1000000000000"}},
		{"class", func(d m) { item(d, "classes", 0)["class"] = "fast" }, []string{`classes[0].class: class "fast" is none of`}},
		{"class missing", func(d m) { d["classes"] = d["classes"].([]any)[1:] }, []string{`classes: class "urgent" is missing`}},
		{"no preset", func(d m) { d["presets"] = []any{} }, []string{"presets: names none"}},
		{"share", func(d m) { item(d, "presets", 1)["urgent_headroom"] = 0.95 }, []string{"presets[1].urgent_headroom: is 0.95, must be from 0 to 0.9"}},
		{"host name as address", func(d m) { item(d, "upstreams", 0)["address"] = "runner1:80" },
			[]string{`upstreams[0].address: is "runner1:80", must be IP:port`}},
		{"same address", func(d m) { item(d, "upstreams", 1)["address"] = item(d, "upstreams", 0)["address"] },
			[]string{`upstreams[1].address: "10.30.1.11:8000" stands already at upstreams[0].address`}},
		{"unknown names", func(d m) {
			item(d, "models", 0)["pool"] = "x"
			item(d, "adapters", 0)["model"] = "y"
			item(d, "upstreams", 0)["data_centre"] = "z"
		}, []string{`models[0].pool: no pool "x"`, `adapters[0].model: no base model "y"`, `upstreams[0].data_centre: no data centre "z"`}},
		{"model of a service pool", func(d m) { item(d, "models", 0)["pool"] = "stock-lookup" },
			[]string{`models[0].pool: pool "stock-lookup" is of kind "service"`}},
		{"adapter named like a model", func(d m) { item(d, "adapters", 40)["name"] = "quotation-8b"; d["teams"] = d["teams"].([]any)[10:] },
			[]string{`adapters[40].name: "quotation-8b" stands already at models[4].name`}},
		{"one key for two teams", func(d m) { item(d, "teams", 1)["key_hashes"] = item(d, "teams", 0)["key_hashes"] },
			[]string{"teams[1].key_hashes[0]: is the same key hash as at teams[0].key_hashes[0]"}},
		{"model larger than any upstream", func(d m) { item(d, "models", 0)["memory_mb"] = 38001 },
			[]string{`models[0].memory_mb: needs 38001 MB with its adapters (38001 MB alone), the largest upstream of pool "order-desk" has 38000 MB`}},
		{"min_replicas do not fit", func(d m) { item(d, "models", 0)["min_replicas"] = 9; item(d, "models", 0)["initial_replicas"] = 9 },
			[]string{`pools[0]: models of pool "order-desk" do not fit at min_replicas: they need 541420 MB, 9 upstreams have 342000 MB; no room for "quotation-14b"`}},
		{"more replicas than upstreams", func(d m) { item(d, "models", 17)["initial_replicas"] = 10 },
			[]string{`models[17].initial_replicas: is 10, pool "order-desk" has 9 upstreams`}},
		{"on demand slower than stated", func(d m) { item(d, "models", 0)["min_replicas"] = 0; item(d, "models", 0)["max_on_demand_s"] = 10 },
			[]string{"models[0].max_on_demand_s: is 10 s, a load takes 17.8 s (33500 MB at 2000 MB/s, 1 loads/s)"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var doc m
			assert.NilError(t, json.Unmarshal(example(t, "kathmandu"), &doc))
			c.change(doc)
			data, err := json.Marshal(doc)
			assert.NilError(t, err)
			got, faults := config.Parse(data)
			assert.Assert(t, got == nil)
			var lines []string
			for _, f := range faults {
				lines = append(lines, f.String())
			}
			all := strings.Join(lines, "\n")
			for _, w := range c.want {
				assert.Assert(t, cmp.Contains(all, w))
			}
			assert.Equal(t, len(faults), len(c.want), all)
		})
	}
}

// Guards against a process that crashes on a hostile document: unbounded recursion
// on millions of opening brackets, or a decoder that accepts two documents in one
// because it stops at the end of the first.
func TestHostileDocuments(t *testing.T) {
	for _, doc := range []string{"", "{", strings.Repeat("[", 1<<20), strings.Repeat(`{"a":`, 1<<16), "{} {}", `{"site":"a","site":"b"}`} {
		c, faults := config.Parse([]byte(doc))
		assert.Assert(t, c == nil && len(faults) > 0)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(example(f, "taipei"))
	f.Add(example(f, "kathmandu"))
	for _, s := range []string{`{"classes":[{"class":7}]}`, `{"models":[{"memory_mb":1e400}]}`, `{"site":"\ud800"}`, `[]`, `null`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, faults := config.Parse(data)
		if (c == nil) == (len(faults) == 0) {
			t.Fatal("either a configuration or faults")
		}
		if c == nil {
			return
		}
		again, err := json.Marshal(c)
		assert.NilError(t, err)
		if _, faults := config.Parse(again); len(faults) > 0 {
			t.Fatal("a valid configuration is refused once written:", faults)
		}
	})
}
