package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
)

// startRoutesHost starts a host with a route for all paths to the service s and others
// below it to the service t. Their upstreams tell ran their service and the target they got.
func startRoutesHost(t *testing.T, ran chan<- string, prefixes ...string) *httptest.Server {
	t.Helper()
	return startHost(t, newRoutesGate(t, ran, prefixes...))
}

// startRoutesEntry starts a host that reaches no upstream, and sends what it gets to such a host.
func startRoutesEntry(t *testing.T, ran chan<- string, prefixes ...string) *httptest.Server {
	t.Helper()
	entry, helper := newRoutesGate(t, ran, prefixes...), newRoutesGate(t, ran, prefixes...)
	entry.deps.HostName = "entry"
	hosts := []string{lendAt(t, http.HandlerFunc(helper.ServeForwarded))}
	return startHost(t, withDetour(entry, stubDetour{needed: always, hosts: hosts}))
}

func newRoutesGate(t *testing.T, ran chan<- string, prefixes ...string) *Gate {
	t.Helper()
	g, f := newGate(&noModelCoordinator{}, "127.0.0.1:1")
	f.Apply(nil, []string{"u"}, 0)
	for _, name := range []string{"s", "t"} {
		address := startUpstream(t, func(_ http.ResponseWriter, r *http.Request) { ran <- name + " " + r.RequestURI })
		f.Apply([]deploy.Upstream{{ID: "at-" + name, Service: name, Address: address, Slots: 4, Software: "v1"}}, nil, 0)
	}
	table := *g.deps.Config.Current().Config
	table.Version++
	table.Services = []deploy.Service{{Name: "s"}, {Name: "t"}}
	table.Routes = table.Routes[:1:1]
	for _, prefix := range prefixes {
		r := table.Routes[0]
		r.Name, r.Prefix, r.Splits = prefix, prefix, []deploy.Split{{Service: "t", Weight: 1}}
		table.Routes = append(table.Routes, r)
	}
	g.deps.Config.ApplyIfNewer(&table, "test")
	return g
}

// sendTarget sends one request with the given method and target.
func sendTarget(t *testing.T, host *httptest.Server, method, target string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", host.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: example.com\r\n\r\n", method, target))
	assert.NilError(t, err)
	return c
}

// Guards against a request that is run by a service to which its path, as it was sent and as
// that service receives it, does not lead.
func TestTheRouteIsThatOfThePathAsItWasSent(t *testing.T) {
	ran := make(chan string, 1)
	host, entry := startRoutesHost(t, ran, "/stock/zip/", "/caf%C3%A9/"), startRoutesEntry(t, ran, "/stock/zip/", "/caf%C3%A9/")
	for _, c := range []struct{ service, target string }{
		{"t", "/stock/zip/7"},
		{"t", "/stock/zip/"},
		{"t", "/stock/zip/%2F7"},
		{"t", "/stock/zip/../button"},
		{"t", "/stock/zip/7?a=b;c"},
		{"t", "/stock/zip/;v=1/7"},
		{"t", "/caf%C3%A9/7"},
		{"t", "http://example.com/stock/zip/7"},
		{"s", "/stock/zip%2F7"},
		{"s", "/stock/zip%2f7"},
		{"s", "/stock%2Fzip/7"},
		{"s", "/stock/zip%2F7|\"<"}, // holds bytes that have no place in a path
		{"s", "/stock/zip?/7"},
		{"s", "/stock/%7Aip/7"},
		{"s", "/stock//zip/7"},
		{"s", "//stock/zip/7"},
		{"s", "//stock/zip%2F7"},
		{"s", "//stock/zip%20a/7?q=1"},
		{"s", "//stock/a|b"},
		{"s", "//stock/%E6%B6%88?"},
		{"s", "//"},
		{"s", "///x%2f"},
		{"s", "/:x"},
		{"s", "/stock/x/../zip/7"},
		{"s", "/stock/zip;v=1/7"},
		{"s", "/stock/zip"},
		{"s", "/x?"},
		{"s", "http://example.com/stock/zip%2F7"},
		{"s", "http://example.com?at=/stock/zip/7"},
	} {
		t.Run(c.target, func(t *testing.T) {
			for _, from := range []*httptest.Server{host, entry} { // direct, and through another host
				assert.Equal(t, status(t, sendTarget(t, from, http.MethodGet, c.target)), http.StatusOK)
				assert.Equal(t, <-ran, c.service+" "+c.target)
			}
		})
	}
}

// Guards against a target without a path that is taken for a path.
func TestATargetWithoutAPathHasNoRoute(t *testing.T) {
	ran := make(chan string, 1)
	host := startRoutesHost(t, ran)
	assert.Equal(t, status(t, sendTarget(t, host, http.MethodGet, "*")), http.StatusNotFound)
	assert.Equal(t, status(t, sendTarget(t, host, http.MethodConnect, "example.com:80")), http.StatusNotFound)
	assert.Equal(t, len(ran), 0)
}
