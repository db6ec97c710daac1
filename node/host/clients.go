package host

import (
	"net/http"
	"time"

	"peridotpier.example/node/bytebudget"
	"peridotpier.example/node/connlimit"
	"peridotpier.example/node/metrics"
)

// Bounds of a request for one of the host's own pages, and of an idle connection.
const (
	pageHeadBytes   = 16 << 10
	pageHeadTimeout = 2 * time.Second
	pageReadTimeout = 5 * time.Second
	pageIdleTimeout = time.Minute // longer than the balancer and scrapers of metrics wait between two requests
)

// machine returns what the process may use.
func (h *Host) machine() connlimit.Machine {
	return connlimit.Machine{MemoryMB: h.settings.Limits.MemoryMB, Descriptors: h.settings.Limits.Descriptors}
}

// newResponseMemory returns the budget of answers that wait for their callers.
func (h *Host) newResponseMemory() *bytebudget.Budget {
	b := bytebudget.New(h.machine().ForResponses())
	h.deps.Metrics.SetFunc(metrics.ResponseBytes, func() any { return b.Used() })
	return b
}

// limitClients creates the bounds of what clients and other hosts can make the process hold.
func (h *Host) limitClients() {
	machine := h.machine()
	report := connlimit.Report(h.deps.Log, h.deps.Metrics)
	clients, peers := machine.ForClients(), machine.ForPeers()
	clients.OnClosed, peers.OnClosed = report, report
	h.clients, h.peers = connlimit.New(clients), connlimit.New(peers)
	h.clients.Expose(h.deps.Metrics, "clients")
	h.peers.Expose(h.deps.Metrics, "peers")
}

// newPageServer returns a server of pages of the host's own, on a listener of its clients.
func newPageServer(pages http.Handler) *http.Server {
	s := &http.Server{Handler: pages, MaxHeaderBytes: pageHeadBytes, ReadHeaderTimeout: pageHeadTimeout, ReadTimeout: pageReadTimeout, IdleTimeout: pageIdleTimeout}
	connlimit.Bind(s, connlimit.Accepted)
	return s
}
