package deploy

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/apikey"
	"peridotpier.example/core/quota"
)

func teamOf(name string, keys ...string) Team {
	t := Team{Name: name}
	for _, k := range keys {
		t.Keys = append(t.Keys, apikey.HashOf(k))
	}
	return t
}

// Guards against a key that shows one team the requests of another, and against a
// version that cannot be read and takes the service down.
func TestFaultyTeamsAreRefusedWithTheirPosition(t *testing.T) {
	withLimit := func(l quota.Limit) Team { out := teamOf("b", "k2"); out.Limit = l; return out }
	many := teamOf("b")
	for i := range maxKeys + 1 {
		many.Keys = append(many.Keys, apikey.HashOf(fmt.Sprint("many", i)))
	}
	for name, c := range map[string]struct {
		second Team
		want   string
	}{
		"no name":        {teamOf("", "k2"), `teams[1] "": has no name`},
		"a name twice":   {teamOf("a", "k2"), "stands twice"},
		"one key in two": {teamOf("b", "k1"), `teams[1] "b": has a key of teams[0]`},
		"an empty key":   {teamOf("b", ""), "has an empty key"},
		"negative rate":  {withLimit(quota.Limit{PerSecond: -1}), "has a rate of -1"},
		"absurd rate":    {withLimit(quota.Limit{PerSecond: math.Inf(1)}), "has a rate of +Inf"},
		"negative burst": {withLimit(quota.Limit{Burst: -2}), "has a burst of -2"},
		"negative plain": {withLimit(quota.Limit{Plain: -3}), "counts -3 tokens"},
		"too many keys":  {many, "must have 8192 at most"},
	} {
		t.Run(name, func(t *testing.T) {
			err := CheckTeams([]Team{teamOf("a", "k1"), c.second})
			assert.ErrorContains(t, err, c.want)
			assert.Assert(t, !strings.Contains(err.Error(), "k1"), "the error contains no key")
		})
	}
	assert.NilError(t, CheckTeams([]Team{teamOf("a", "k1", "k1"), teamOf("b", "k2"), teamOf("c")}), "a key may be listed twice in one team")
}

// A configuration is sent between hosts with hashes of keys only.
func TestATeamIsFoundByItsKeyOnEveryHost(t *testing.T) {
	c := &Config{Teams: []Team{teamOf("a", "k1", "k2"), teamOf("b", "k3")}, Routes: []Route{{Name: "r"}, {Name: "open", Public: true}}}
	data, err := json.Marshal(c)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(data), "k1"))
	decoded := new(Config)
	assert.NilError(t, json.Unmarshal(data, decoded))
	table := NewTable(decoded)
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		team, ok := table.Team(apikey.HashOf(key))
		assert.Assert(t, ok)
		assert.Equal(t, team.Name, want)
	}
	for _, key := range []string{"", "k4", apikey.HashOf("k1").String()} {
		_, ok := table.Team(apikey.HashOf(key))
		assert.Assert(t, !ok, key)
	}
	assert.Assert(t, table.NeedsKey(&decoded.Routes[0]))
	assert.Assert(t, !table.NeedsKey(&decoded.Routes[1]))
	assert.Assert(t, !NewTable(&Config{}).NeedsKey(&decoded.Routes[0]), "without teams no request needs a key")
}

// Guards against serving the most urgent route of an ordinary team after the least
// urgent route of another.
func TestATeamsUrgencyPrecedesThatOfItsRoutes(t *testing.T) {
	first, other, same := Team{Name: "first"}, Team{Name: "other", Urgency: 2}, Team{Name: "same", Urgency: 2}
	c := &Config{Teams: []Team{first, other, same}, Routes: []Route{{Name: "slow", Priority: 5}, {Name: "fast", Priority: 1, Public: true}}}
	table := NewTable(c)
	rank := func(team *Team, route int) int { at, _ := table.UrgencyRank(team, &c.Routes[route]); return at }
	assert.Assert(t, rank(&first, 0) < rank(&other, 1), "by the team first")
	assert.Assert(t, rank(&other, 1) < rank(&other, 0), "then by the route")
	assert.Equal(t, rank(&other, 0), rank(&same, 0))
	_, ranks := table.UrgencyRank(&first, &c.Routes[0])
	assert.Equal(t, ranks, 4)
	assert.Equal(t, rank(nil, 1), rank(&first, 1), "requests of a public route have the urgency of the most urgent teams")
}

func benchmarkKeys(b *testing.B, teams, keys int) {
	c := &Config{}
	for i := range teams {
		var own []string
		for j := range keys {
			own = append(own, fmt.Sprintf("key-%d-%d", i, j))
		}
		c.Teams = append(c.Teams, teamOf(fmt.Sprint("team-", i), own...))
	}
	table := NewTable(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Team(apikey.HashOf("key-3-1")); !ok {
			b.Fatal("not found")
		}
	}
}

func BenchmarkTeamOfAKeyAmong16Teams(b *testing.B)  { benchmarkKeys(b, 16, 2) }
func BenchmarkTeamOfAKeyAmong720Teams(b *testing.B) { benchmarkKeys(b, 720, 4) }
