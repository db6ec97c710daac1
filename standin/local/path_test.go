package local_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/class"
	"peridotpier.example/core/config"
	"peridotpier.example/node/server"
	api "peridotpier.example/node/store"
	"peridotpier.example/standin/engine"
	"peridotpier.example/standin/local"
	"peridotpier.example/standin/platform"
	"peridotpier.example/standin/service"
)

const (
	teamKey  = "key-of-a"
	otherKey = "key-of-b"
)

// fixture is one node with one engine and one service, which may have several instances.
type fixture struct {
	t    testing.TB
	node *local.Node
	eng  *engine.Engine
	svc  *service.Service
	tbl  *platform.Table
	obj  *platform.Objects

	hosts     *platform.Hosts
	weights   *platform.Weights
	base      string
	configure []func(*local.NodeConfig)

	// Fields that a test may set for newFixtureWith.
	serviceTime  time.Duration
	answerBytes  int64 // bound on the bytes of a kept answer
	serviceCount int   // number of instances of the service; svc is the first
	onExecution  func(service.Execution) (ended func([]byte))
	services     []*service.Service
}

func keyHashOf(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

func newFixture(t testing.TB, ecfg engine.Config, change ...func(*local.NodeConfig)) *fixture {
	t.Helper()
	return newFixtureWith(t, &fixture{answerBytes: 1 << 20, serviceCount: 1}, ecfg, change...)
}

func newFixtureWith(t testing.TB, p *fixture, ecfg engine.Config, change ...func(*local.NodeConfig)) *fixture {
	t.Helper()
	*p = fixture{t: t, configure: change, serviceTime: p.serviceTime, answerBytes: p.answerBytes, serviceCount: p.serviceCount, onExecution: p.onExecution, tbl: platform.NewTable(), obj: platform.NewObjects(platform.NewFaults(1, nil)),
		hosts: platform.NewHosts(platform.NewFaults(1, nil)), weights: platform.NewWeights(platform.NewFaults(1, nil), 100, 100)}
	ecfg.Name = "e1"
	var err error
	p.eng, err = engine.New(ecfg)
	assert.NilError(t, err)
	assert.NilError(t, p.eng.Start())
	p.eng.Preload("m", "", "v1", 10)
	for i := range p.serviceCount {
		s, err := service.New(service.Config{Name: fmt.Sprint("s", i+1), DefaultDuration: p.serviceTime, Seed: uint64(i), OnExecution: p.onExecution})
		assert.NilError(t, err)
		assert.NilError(t, s.Start())
		t.Cleanup(s.Close)
		p.services = append(p.services, s)
	}
	p.svc = p.services[0]
	assert.NilError(t, local.ApplyConfig(t.Context(), p.tbl, p.obj, p.config()))
	p.node = p.startNode("n1")
	p.base = "http://" + p.node.CallerAddress()
	t.Cleanup(func() {
		assert.NilError(t, p.node.Stop())
		p.eng.Close()
	})
	return p
}

func (p *fixture) startNode(name string) *local.Node {
	set := local.Settings(name, "dc1")
	set.Bounds.BalancerWaitSeconds = 0 // there is no balancer
	set.Bounds.SilenceMs = 200
	cfg := local.NodeConfig{Settings: set, Platform: server.Platform{Table: p.tbl, Objects: p.obj, Hosts: p.hosts, Weights: p.weights}}
	for _, change := range p.configure {
		change(&cfg)
	}
	n, err := local.StartNode(cfg)
	assert.NilError(p.t, err)
	if p.node == nil {
		// A host is not ready before it has read the platform's list.
		p.hosts.Set(api.Host{Name: name, Address: n.PeerAddress(), DataCentre: "dc1", Role: api.RoleEntry, State: api.HostLive})
	}
	assert.NilError(p.t, n.AwaitReady(p.t.Context()))
	return n
}

func (p *fixture) config() *config.Config {
	c := p.baseConfig()
	for _, s := range p.services {
		c.Upstreams = append(c.Upstreams, config.Upstream{Name: s.Name(), Pool: "svc", Address: s.Addr(), DataCentre: "dc1", MaxBatch: 64})
	}
	c.Limits.AnswerBytes = p.answerBytes
	return c
}

func (p *fixture) baseConfig() *config.Config {
	return &config.Config{Site: "test", DataCentres: []string{"dc1"},
		Teams: []config.Team{
			{Name: "a", KeyHashes: []string{keyHashOf(teamKey)}, Models: []string{"m"}, Services: []string{"stock"}, Weight: 1},
			{Name: "b", KeyHashes: []string{keyHashOf(otherKey)}, Weight: 1}},
		Pools:  []config.Pool{{Name: "lm", Kind: config.KindEngine}, {Name: "svc", Kind: config.KindService}},
		Models: []config.Model{{Name: "m", Pool: "lm", Version: "v1", MemoryMB: 10, MinReplicas: 1, InitialReplicas: 1, TokensPerSecond: 100}},
		Upstreams: []config.Upstream{
			{Name: "e1", Pool: "lm", Address: p.eng.Addr(), DataCentre: "dc1", Accelerators: 1, MemoryMB: 100, MaxBatch: 64, Fencing: config.FencingChecked}},
		Services: []config.Service{{Name: "stock", Pool: "svc", Routes: []config.ServiceRoute{{Method: "POST", Prefix: "/notes"}}}},
		Classes: []config.ClassRule{{Class: class.Urgent, FirstTokenMs: 500, DeadlineMs: 10_000, MaxQueue: 64}, {Class: class.Standard, FirstTokenMs: 500, DeadlineMs: 10_000, MaxQueue: 64},
			{Class: class.Bulk, FirstTokenMs: 500, DeadlineMs: 10_000, MaxQueue: 64}},
		Presets:     []config.Preset{{Name: "ordinary", UrgentHeadroom: 0.1, BulkShare: 0.5, AcceptBulk: true}},
		WeightStore: config.WeightStore{LoadsPerSecond: 1, Concurrent: 2, MBPerSecond: 1000},
		Limits:      config.Limits{BodyBytes: 1 << 20, AnswerBytes: 1 << 20, ClaimTTLSeconds: 3600, RetryBudgetShare: 0.1},
	}
}

// do sends one request with a team's key and returns status, header and body of the
// answer; header holds further header names and values in turn.
func (p *fixture) do(method, path, key, body string, header ...string) (int, http.Header, string) {
	p.t.Helper()
	req, err := http.NewRequest(method, p.base+path, strings.NewReader(body))
	assert.NilError(p.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(p.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(p.t, err)
	return resp.StatusCode, resp.Header, string(data)
}

const chat = `{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`

func TestAStreamIsForwardedCompletely(t *testing.T) {
	p := newFixture(t, engine.Config{})
	status, h, body := p.do("POST", "/v1/chat/completions", teamKey, fmt.Sprintf(chat, true, 20))
	assert.Equal(t, status, http.StatusOK, body)
	assert.Equal(t, h.Get("Content-Type"), "text/event-stream")
	assert.Equal(t, strings.Count(body, "id: "), 21)
	assert.Assert(t, strings.HasSuffix(body, "id: 21\ndata: [DONE]\n\n"), body)
	assert.Assert(t, h.Get("Peridot-Resume") != "")
}

func TestACompleteAnswerIsForwarded(t *testing.T) {
	p := newFixture(t, engine.Config{})
	status, _, body := p.do("POST", "/v1/chat/completions", teamKey, fmt.Sprintf(chat, false, 20))
	assert.Equal(t, status, http.StatusOK, body)
	assert.Assert(t, strings.Contains(body, `"completion_tokens":20`), body)
}

func TestACallThatMayNotBeRepeatedRunsOnce(t *testing.T) {
	p := newFixture(t, engine.Config{})
	first, _, one := p.do("POST", "/v1/services/stock/notes", teamKey, "note", "Idempotency-Key", "k1")
	again, h, two := p.do("POST", "/v1/services/stock/notes", teamKey, "note", "Idempotency-Key", "k1")
	assert.Equal(t, first, http.StatusOK, one)
	assert.Equal(t, again, http.StatusOK, two)
	assert.Equal(t, h.Get("Peridot-Replayed"), "true")
	assert.Equal(t, one, two)
	assert.Equal(t, len(p.svc.Executions()), 1)
	other, _, body := p.do("POST", "/v1/services/stock/notes", teamKey, "another", "Idempotency-Key", "k1")
	assert.Equal(t, other, http.StatusConflict, body)
}

func TestRefusalsAreTyped(t *testing.T) {
	p := newFixture(t, engine.Config{})
	long := string(bytes.Repeat([]byte("x"), 2<<20))
	for _, c := range []struct {
		name, method, path, key, body string
		header                        []string
		status                        int
		code                          string
	}{
		{"no such team", "GET", "/v1/models", "nobody", "", nil, 401, "invalid_api_key"},
		{"malformed", "POST", "/v1/chat/completions", teamKey, "{", nil, 400, "bad_request"},
		{"unknown model", "POST", "/v1/chat/completions", teamKey, `{"model":"x"}`, nil, 404, "model_not_found"},
		{"another team's model", "POST", "/v1/chat/completions", otherKey, `{"model":"m"}`, nil, 404, "model_not_found"},
		{"another team's service", "GET", "/v1/services/stock/x", otherKey, "", nil, 404, "not_found"},
		{"absent idempotency key", "POST", "/v1/services/stock/notes", teamKey, "n", nil, 400, "idempotency_key_required"},
		{"bad class", "POST", "/v1/chat/completions", teamKey, `{"model":"m"}`, []string{"Peridot-Class", "vip"}, 400, "bad_request"},
		{"bad deadline", "POST", "/v1/chat/completions", teamKey, `{"model":"m"}`, []string{"Peridot-Deadline-Ms", "-1"}, 400, "bad_request"},
		{"climbing path", "POST", "/v1/services/stock/x/../notes", teamKey, "n", nil, 400, "bad_request"},
		{"climbing path, encoded", "GET", "/v1/services/stock/%2e%2e/engine/v1/attempts/a", teamKey, "", nil, 400, "bad_request"},
		{"doubled slash", "POST", "/v1/services/stock//notes", teamKey, "n", nil, 400, "bad_request"},
		{"oversized", "POST", "/v1/chat/completions", teamKey, long, nil, 413, "request_too_large"},
		{"no such path", "GET", "/v2/x", teamKey, "", nil, 404, "not_found"},
		{"forged resume token", "GET", "/v1/requests/k1.e30.AAAA/stream", teamKey, "", nil, 404, "not_found"},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, h, body := p.do(c.method, c.path, c.key, c.body, c.header...)
			assert.Equal(t, status, c.status, body)
			assert.Assert(t, strings.Contains(body, `"code":"`+c.code+`"`), body)
			assert.Assert(t, h.Get("Peridot-Request") != "" || c.name == "no such path", "no request id")
		})
	}
}
