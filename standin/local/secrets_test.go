package local_test

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"peridotpier.example/node/event"
	"peridotpier.example/standin/local"
	"peridotpier.example/standin/pki"
)

// secretsFixture is a node with TLS whose log and answers are recorded.
type secretsFixture struct {
	*fixture
	ca       *pki.Authority
	files    *pki.Files
	logs     *observer.ObservedLogs
	callers  *http.Client
	operator *http.Client
	answers  strings.Builder
}

func newSecretsFixture(t *testing.T) *secretsFixture {
	t.Helper()
	ca, err := pki.New("test")
	assert.NilError(t, err)
	core, logs := observer.New(zapcore.DebugLevel)
	v := &secretsFixture{ca: ca, files: local.NewKeyFiles(), logs: logs}
	v.fixture = newFixture(t, slowEngine, func(c *local.NodeConfig) {
		c.Files, c.Log = v.files, zap.New(core)
		assert.NilError(t, local.EnableTLS(c.Settings, c.Files, ca))
	})
	own, err := ca.KeyPair("operator")
	assert.NilError(t, err)
	client := func(certs ...tls.Certificate) *http.Client {
		return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: ca.CertPool(), Certificates: certs}}}
	}
	v.callers, v.operator = client(), client(own)
	return v
}

// call sends a request, records the body of the answer, and returns its status and
// headers.
func (f *secretsFixture) call(c *http.Client, method, url, key, body string) (int, http.Header) {
	f.t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.Do(req)
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	fmt.Fprintf(&f.answers, "%s: %s\n", method, text) // without the path, which may contain a token of the test
	return resp.StatusCode, resp.Header
}

// Symptom: a key is found in a log, a ticket or a dashboard.
// Sequence: keys are mistyped, pasted into the wrong place, rotated, or broken on disk;
// somebody copies the host's messages about it.
// Cause: an error repeats its input, or a record contains more than it needs.
func TestSecretsAreNeverShown(t *testing.T) {
	v := newSecretsFixture(t)
	callers, operators := "https://"+v.node.CallerAddress(), "https://"+v.node.OperatorAddress()
	const wrongKey, wrongOperator, pasted = "a-mistyped-team-key", "a-mistyped-operator-key", "a-plain-key-pasted-for-its-hash"
	const brokenKey, newKey, newSecret = "broken resume key", "key-of-a-after-rotation", "new resume key of 32 bytes and more"
	secrets := map[string]string{"team's key": teamKey, "other team's key": otherKey, "operator's key": local.OperatorKey,
		"mistyped key": wrongKey, "mistyped operator's key": wrongOperator, "key pasted for its hash": pasted,
		"resume key": local.ResumeSecret, "broken resume key": brokenKey, "new resume key": newSecret, "salt": local.PrefixSaltSecret,
		"new team key": newKey, "team's key hash": keyHashOf(teamKey), "new team key's hash": keyHashOf(newKey)}
	private, err := v.files.Read("certificate-key")
	assert.NilError(t, err)
	secrets["private key"] = strings.Split(string(private), "\n")[1]

	expect := func(want int, c *http.Client, method, url, key, body string) http.Header {
		t.Helper()
		status, h := v.call(c, method, url, key, body)
		assert.Equal(t, status, want, "%s %s", method, url)
		return h
	}
	// Callers: right and wrong keys, bodies and tokens.
	stream := expect(200, v.callers, "POST", callers+"/v1/chat/completions", teamKey, fmt.Sprintf(chat, true, 3))
	resume := stream.Get("Peridot-Resume")
	secrets["resume token"] = resume
	expect(401, v.callers, "GET", callers+"/v1/models", wrongKey, "")
	expect(404, v.callers, "POST", callers+"/v1/chat/completions", otherKey, `{"model":"m"}`)
	expect(404, v.callers, "GET", callers+"/v1/requests/"+resume+"/stream", otherKey, "")
	expect(404, v.callers, "GET", callers+"/v1/requests/"+resume, otherKey, "")
	expect(404, v.callers, "DELETE", callers+"/v1/requests/"+resume, otherKey, "")
	expect(404, v.callers, "GET", callers+"/v1/requests/"+resume+"x/stream", teamKey, "")
	// Operators: a wrong key, a key instead of its hash, a rotated key.
	expect(401, v.operator, "GET", operators+"/v1/status", wrongOperator, "")
	apply := func(want int, hashes ...string) {
		t.Helper()
		c := v.config()
		c.Teams[0].KeyHashes = hashes
		doc, err := json.Marshal(c)
		assert.NilError(t, err)
		expect(want, v.operator, "POST", operators+"/v1/configuration?parent=1", local.OperatorKey, string(doc))
	}
	apply(422, pasted)
	apply(422, keyHashOf(teamKey), keyHashOf(otherKey)) // the second is another team's
	apply(200, keyHashOf(teamKey), keyHashOf(newKey))
	apply(409, keyHashOf(newKey))
	// Files: broken, rotated, repaired.
	for _, f := range []struct{ name, text string }{{local.ResumeKeyFile, brokenKey}, {"certificate-key", string(private[:len(private)/2])},
		{local.ResumeKeyFile, newSecret}, {"certificate-key", string(private)}} {
		v.files.Put(f.name, []byte(f.text))
		v.node.Keys.Reload()
	}
	// Strangers: no certificate for operators, no TLS for callers.
	_, err = v.callers.Get(operators + "/v1/status")
	assert.Assert(t, err != nil)
	plain, err := net.Dial("tcp", v.node.CallerAddress())
	assert.NilError(t, err)
	_, err = plain.Write([]byte("GET / HTTP/1.1\r\nAuthorization: Bearer " + teamKey + "\r\n\r\n"))
	assert.NilError(t, err)
	_, _ = io.ReadAll(plain) // ends when the host hangs up
	_ = plain.Close()
	for _, q := range []string{"/v1/status", "/v1/everywhere", "/v1/audit", "/v1/requests", "/v1/presets", "/debug/vars"} {
		expect(200, v.operator, "GET", operators+q, local.OperatorKey, "")
	}

	output := v.answers.String()
	logged := map[int64]bool{}
	for _, e := range v.logs.All() {
		line, err := json.Marshal(e.ContextMap())
		assert.NilError(t, err)
		output += "log: " + e.Message + " " + string(line) + "\n"
		logged[e.ContextMap()[event.FieldEvent].(int64)] = true
	}
	for _, e := range []event.Event{event.KeysRefused, event.KeysReloaded, event.HandshakeRefused, event.OperatorRefused, event.OperatorChanged} {
		assert.Check(t, logged[int64(e.Number)], "%s was not logged: the test shows less than it claims", e.Name)
	}
	for name, secret := range secrets {
		assert.Check(t, secret != "" && !strings.Contains(output, secret), "the %s is shown", name)
	}
	assert.Assert(t, strings.Contains(output, `"action":"apply"`) && strings.Contains(output, "requests_total"), "trail or metrics are missing")
}
