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

// Options of running a site.
type Options struct {
	Site   *site.Site
	Seed   uint64
	Policy server.Policy
	Oracle bool // upstreams report at once and truly
	Log    *zap.Logger
	// Demand sets the windows of measured demand; the zero value is the default.
	Demand demand.Config
	// TLS lets all listeners of the entry hosts use certificates made in memory.
	TLS bool
	// Hosts is the number of entry hosts; 0: as the site says.
	Hosts int
}

// RunningSite is a site that runs: stand-ins and nodes.
type RunningSite struct {
	*StandIns
	opt       Options
	Balancer  *load.Balancer
	Authority *pki.Authority // signed the hosts' certificates; nil without TLS

	mu             sync.Mutex
	nodes          []*Node  // nil: ended
	appliedPresets []string // put in force one after the other by scripts
}

// balancerDelay is how long a local balancer goes on sending to a host that
// said "not ready".
const balancerDelay = time.Second

// Start starts the platform, the upstreams and all entry hosts.
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
			return nil, err // nothing runs yet
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

// hostName is the name of the i-th entry host.
func hostName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// startNodes starts the hosts of a site that was there before: its platform
// lists them already, however late it lists changes.
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
		Distance: func(from, to string) float64 {
			return float64(r.opt.Site.RoundTrip(from, to)) / float64(time.Millisecond)
		}})
}

// publishHosts brings the platform's list of hosts up to date; hosts read it late.
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

// Addresses are the callers' listeners of the hosts that the balancer knows.
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

// removeNode removes a host from those that run.
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

// Kill ends one host without a word; the balancer notices a second later.
func (r *RunningSite) Kill(host int) {
	if n := r.removeNode(host); n != nil {
		n.Kill()
		r.publishHosts()
		time.AfterFunc(balancerDelay, func() { r.Balancer.Set(r.Addresses()...) })
	}
}

// Stop shuts one host down gracefully; the balancer stops sending to it
// somewhat before it stops taking requests.
func (r *RunningSite) Stop(host int) error {
	n := r.removeNode(host)
	if n == nil {
		return nil
	}
	time.AfterFunc(balancerDelay/2, func() { r.Balancer.Set(r.Addresses()...) })
	defer r.publishHosts()
	return n.Stop()
}

// Replace starts a new host in the place of one that ended.
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

// Dialer opens callers' connections at their distance from the entry hosts.
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

// DialCallers opens callers' connections like Dialer, with TLS where the site
// runs with it.
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
		host, _, _ := net.SplitHostPort(address) // it was just dialled
		secure := tls.Client(c, &tls.Config{RootCAs: roots, ServerName: host})
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = c.Close()
			return nil, err
		}
		return secure, nil
	}
}

// Close ends everything; requests in flight are finished first.
func (r *RunningSite) Close() {
	var wg sync.WaitGroup
	for i := range r.nodes {
		if n := r.removeNode(i); n != nil {
			wg.Go(func() { _ = n.Stop() }) // an error here is the listener's end, and the run is over
		}
	}
	wg.Wait()
	r.Upstreams.Close()
}
