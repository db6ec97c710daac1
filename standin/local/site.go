package local

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/node/demand"
	"peridotpier.example/node/server"
	"peridotpier.example/node/store"
	"peridotpier.example/standin/load"
	"peridotpier.example/standin/pki"
	"peridotpier.example/standin/site"
	"peridotpier.example/standin/wire"
)

// Options are the options of Start.
type Options struct {
	Site   *site.Site
	Seed   uint64
	Policy server.Policy
	Oracle bool // reports of upstreams are current and immediate
	Log    *zap.Logger
	// Demand sets the time windows of the demand measurement; the zero value is the
	// default.
	Demand demand.Config
	// TLS makes all listeners of the entry hosts use certificates issued in memory.
	TLS bool
	// Hosts is the number of entry hosts; 0: that of the site.
	Hosts int
}

// RunningSite is a site that runs in this process: its stand-ins and nodes.
type RunningSite struct {
	*StandIns
	opt       Options
	Balancer  *load.Balancer
	Authority *pki.Authority // issuer of the hosts' certificates; nil without TLS

	mu             sync.Mutex
	nodes          []*Node  // by host number; nil: stopped or killed
	appliedPresets []string // put in force by scripts, in this order
}

// balancerDelay is the time for which a local balancer continues to send to a host
// after the host reports "not ready".
const balancerDelay = time.Second

// Start starts the platform, the upstreams and all entry hosts, and waits until the
// hosts are ready. On an error nothing is left running.
func Start(ctx context.Context, opt Options) (*RunningSite, error) {
	if opt.Hosts == 0 {
		opt.Hosts = opt.Site.EntryHosts
	}
	r := &RunningSite{opt: opt}
	if opt.TLS {
		var err error
		if r.Authority, err = pki.New(opt.Site.Deployment.Site); err != nil {
			return nil, err
		}
	}
	var err error
	if r.StandIns, err = startStandIns(opt.Site, site.StartOptions{Seed: opt.Seed, Oracle: opt.Oracle}); err != nil {
		return nil, err
	}
	if err := ApplyConfig(ctx, r.Table, r.Objects, &r.Upstreams.Config); err != nil {
		r.Upstreams.Close()
		return nil, err
	}
	for i := range opt.Hosts {
		n, err := r.newNode(i)
		if err != nil {
			r.Close()
			return nil, err
		}
		r.nodes = append(r.nodes, n)
	}
	if err := r.startNodes(ctx); err != nil {
		r.Close()
		return nil, err
	}
	r.Balancer = load.NewBalancer(r.Addresses()...)
	return r, nil
}

// hostName returns the name of the entry host with index i.
func hostName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// startNodes starts the hosts as those of an existing site: the platform lists them
// from the beginning, although it lists later changes with a lag.
func (r *RunningSite) startNodes(ctx context.Context) error {
	r.HostList.SetLag(0)
	defer r.HostList.SetLag(time.Duration(r.opt.Site.Store.HostListLagMs) * time.Millisecond)
	r.publishHosts()
	for _, n := range r.nodes {
		n.Start()
	}
	for _, n := range r.nodes {
		if err := n.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *RunningSite) newNode(i int) (*Node, error) {
	dc := r.opt.Site.EntryDataCentre(i)
	set := Settings(hostName(i), dc)
	set.Bounds.BalancerWaitSeconds = int(balancerDelay / time.Second)
	files := NewKeyFiles()
	if r.Authority != nil {
		if err := EnableTLS(set, files, r.Authority); err != nil {
			return nil, err
		}
	}
	return NewNode(NodeConfig{Settings: set, Files: files, Policy: r.opt.Policy, Dialer: r.Upstreams.Dialer(dc), Demand: r.opt.Demand, Log: r.opt.Log,
		Platform: server.Platform{Table: r.Table, Objects: r.Objects, Hosts: r.HostList, Weights: r.Weights},
		RoundTripMs: func(from, to string) float64 {
			return float64(r.opt.Site.RoundTrip(from, to)) / float64(time.Millisecond)
		}})
}

// publishHosts updates the platform's host list; hosts see the update with a lag.
func (r *RunningSite) publishHosts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := r.Upstreams.Hosts()
	for i, n := range r.nodes {
		if n != nil {
			hosts = append(hosts, store.Host{Name: hostName(i), Address: n.PeerAddress(), DataCentre: r.opt.Site.EntryDataCentre(i),
				Role: store.RoleEntry, State: store.HostLive})
		}
	}
	r.HostList.Set(hosts...)
}

// Addresses returns the addresses of the callers' listeners of the running hosts.
func (r *RunningSite) Addresses() []string {
	return r.addresses(func(n *Node) string { return n.CallerAddress() })
}

func (r *RunningSite) addresses(of func(*Node) string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, n := range r.nodes {
		if n != nil {
			out = append(out, of(n))
		}
	}
	return out
}

// removeNode removes a host from the running ones and returns its node, or nil if it
// doesn't run.
func (r *RunningSite) removeNode(host int) *Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	if host < 0 || host >= len(r.nodes) {
		return nil
	}
	n := r.nodes[host]
	r.nodes[host] = nil
	return n
}

// Kill ends one host abruptly; the balancer notices it balancerDelay later.
func (r *RunningSite) Kill(host int) {
	if n := r.removeNode(host); n != nil {
		n.Kill()
		r.publishHosts()
		time.AfterFunc(balancerDelay, func() { r.Balancer.Set(r.Addresses()...) })
	}
}

// Stop shuts one host down gracefully and waits until it has ended. The balancer stops
// sending to the host shortly before the host stops accepting requests.
func (r *RunningSite) Stop(host int) error {
	n := r.removeNode(host)
	if n == nil {
		return nil
	}
	time.AfterFunc(balancerDelay/2, func() { r.Balancer.Set(r.Addresses()...) })
	defer r.publishHosts()
	return n.Stop()
}

// Replace starts a new host in the place of one that was stopped or killed.
func (r *RunningSite) Replace(ctx context.Context, host int) error {
	n, err := r.newNode(host)
	if err != nil {
		return err
	}
	n.Start()
	if err := n.AwaitReady(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	r.nodes[host] = n
	r.mu.Unlock()
	r.publishHosts()
	r.Balancer.Set(r.Addresses()...)
	return nil
}

// Dialer returns a dialer for callers' connections that imitates the round-trip times
// to the entry hosts.
func (r *RunningSite) Dialer() *wire.Dialer {
	centre := map[string]string{}
	for i, n := range r.nodes {
		if n != nil {
			centre[n.CallerAddress()] = r.opt.Site.EntryDataCentre(i)
		}
	}
	return &wire.Dialer{RoundTrip: func(address string) time.Duration {
		return r.opt.Site.RoundTrip(site.Clients, centre[address])
	}}
}

// DialCallers returns a function that opens callers' connections like Dialer, with TLS
// if the site runs with it.
func (r *RunningSite) DialCallers() func(ctx context.Context, network, address string) (net.Conn, error) {
	dial := r.Dialer().DialContext
	if r.Authority == nil {
		return dial
	}
	roots := r.Authority.CertPool()
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, _ := net.SplitHostPort(address) // valid, since it was dialled
		secure := tls.Client(c, &tls.Config{RootCAs: roots, ServerName: host})
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = c.Close()
			return nil, err
		}
		return secure, nil
	}
}

// Close stops all hosts, which finish their requests in flight first, and then the
// upstreams.
func (r *RunningSite) Close() {
	var wg sync.WaitGroup
	for i := range r.nodes {
		if n := r.removeNode(i); n != nil {
			wg.Go(func() { _ = n.Stop() }) // the run is over: an error only concerns the closing of a listener
		}
	}
	wg.Wait()
	r.Upstreams.Close()
}
