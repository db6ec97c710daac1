package deploy_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
)

func table() *deploy.Table {
	return deploy.NewTable(&deploy.Config{Routes: []deploy.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}})
}

func TestTheLongestPrefixOfTheHostWins(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/1", "long"},
		{"a.example", "/xy", ""},
		{"b.example", "/x/y/1", "other"},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := table().Match(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

func TestTrafficIsSplitByWeight(t *testing.T) {
	r := deploy.Route{Splits: []deploy.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	assert.Equal(t, r.ChooseService(0), "a")
	assert.Equal(t, r.ChooseService(0.899), "a")
	assert.Equal(t, r.ChooseService(0.901), "b")
	assert.Equal(t, r.ChooseService(0.9999), "b")
	none := deploy.Route{Splits: []deploy.Split{{Service: "a"}}}
	assert.Equal(t, none.ChooseService(0.5), "a")
}

func TestAnAdapterIsResidentOnlyWithItsModel(t *testing.T) {
	u := deploy.Upstream{Residents: []deploy.Resident{{Model: "m", Adapters: []string{"a1"}}, {Model: "n"}}}
	assert.Assert(t, u.HasResident("m", "") && u.HasResident("m", "a1") && u.HasResident("n", ""))
	assert.Assert(t, !u.HasResident("n", "a1") && !u.HasResident("m", "a2") && !u.HasResident("o", ""))
}
