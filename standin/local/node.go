// Package local runs real nodes together with the stand-ins in one process on loopback,
// for the demo, benchmarks and tests of the whole request path. It also runs the
// stand-ins for nodes in processes of their own.
package local

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/apikey"
	"peridotpier.example/core/config"
	"peridotpier.example/node/command"
	"peridotpier.example/node/demand"
	"peridotpier.example/node/event"
	"peridotpier.example/node/keys"
	"peridotpier.example/node/server"
	"peridotpier.example/node/settings"
	"peridotpier.example/node/store"
	"peridotpier.example/node/upstream/conn"
	"peridotpier.example/standin/pki"
)

// AnyPort is a loopback address whose port the system chooses.
const AnyPort = "127.0.0.1:0"

// OperatorKey is the key of the operator "bench" on every local node.
const OperatorKey = "local-operator-key"

// Settings returns the settings of a local node, with ports that the system chooses.
func Settings(host, dataCentre string) *settings.Settings {
	const platform = "http://127.0.0.1:1" // not dialled: the platform is passed in NodeConfig
	s := &settings.Settings{Host: host, DataCentre: dataCentre,
		Caller:   settings.Listener{Address: AnyPort},
		Operator: settings.Operator{Address: AnyPort, Operators: []settings.OperatorKey{{Name: "bench", KeyHash: keyHash(OperatorKey)}}},
		Peer:     settings.Listener{Address: AnyPort},
		Platform: settings.Platform{Table: platform, Objects: platform, Hosts: platform, Weights: platform},
		Keys:     settings.Keys{Resume: []settings.KeyFile{{ID: "k1", File: ResumeKeyFile}}, PrefixSalt: PrefixSaltFile},
	}
	s.SetDefaults()
	return s
}

// Names of the key files in the result of Settings, and the secrets in them, which all
// local nodes share.
const (
	ResumeKeyFile    = "resume-k1"
	PrefixSaltFile   = "prefix-salt"
	ResumeSecret     = "local resume key of 32 bytes or more"
	PrefixSaltSecret = "local salt of 32 bytes or more.."
)

// NewKeyFiles returns, in memory, the key files that the result of Settings names.
func NewKeyFiles() *pki.Files {
	f := pki.NewFiles()
	f.Put(ResumeKeyFile, []byte(ResumeSecret))
	f.Put(PrefixSaltFile, []byte(PrefixSaltSecret))
	return f
}

// EnableTLS issues a certificate for all listeners of a node, adds it to files and names
// it in the settings.
func EnableTLS(set *settings.Settings, files *pki.Files, a *pki.Authority) error {
	certificate, key, err := a.Issue(set.Host, pki.WithIPAddress("127.0.0.1"))
	if err != nil {
		return err
	}
	t := settings.TLS{Certificate: "certificate", Key: "certificate-key", Authorities: "authorities"}
	files.Put(t.Certificate, certificate)
	files.Put(t.Key, key)
	files.Put(t.Authorities, a.PEM())
	callers := t
	callers.Authorities = "" // callers authenticate with their team's key instead
	set.Caller.TLS, set.Operator.TLS, set.Peer.TLS = &callers, &t, &t
	return nil
}

// Node is a node in this process.
type Node struct {
	*server.Server
	Keys       *keys.Ring
	killSwitch *killSwitch
	cancel     context.CancelFunc
	startOnce  sync.Once
	stopOnce   sync.Once
	done       chan struct{}
	err        error
}

// NodeConfig holds what differs between local nodes.
type NodeConfig struct {
	Settings *settings.Settings
	Platform server.Platform
	Policy   server.Policy
	Dialer   conn.Dialer
	// PeerDialer opens connections to other nodes; nil: plain connections.
	PeerDialer  conn.Dialer
	RoundTripMs func(from, to string) float64
	Demand      demand.Config
	Log         *zap.Logger
	Files       *pki.Files // keys and certificates; nil: NewKeyFiles()
	// ClaimGrace, HeadTimeout and BodyTimeout are passed to server.Config.
	ClaimGrace  time.Duration
	HeadTimeout time.Duration
	BodyTimeout time.Duration
}

// StartNode creates a node and runs it until Stop or Kill.
func StartNode(cfg NodeConfig) (*Node, error) {
	n, err := NewNode(cfg)
	if err == nil {
		n.Start()
	}
	return n, err
}

// NewNode creates a node and opens its listeners; Start runs it.
func NewNode(cfg NodeConfig) (*Node, error) {
	if cfg.Files == nil {
		cfg.Files = NewKeyFiles()
	}
	ring, err := keys.Load(keys.Config{Settings: cfg.Settings}, keys.Deps{Files: cfg.Files, Log: event.NewLog(cfg.Log)})
	if err != nil {
		return nil, err
	}
	ks := newKillSwitch()
	s, err := server.New(server.Config{Settings: cfg.Settings, Keys: ring, Platform: ks.wrapPlatform(cfg.Platform),
		Policy: cfg.Policy, Dialer: ks.wrapDialer(cfg.Dialer), RoundTripMs: cfg.RoundTripMs, Demand: cfg.Demand, PeerDialer: ks.wrapDialer(cfg.PeerDialer), Log: cfg.Log,
		ClaimGrace: cfg.ClaimGrace, HeadTimeout: cfg.HeadTimeout, BodyTimeout: cfg.BodyTimeout})
	if err != nil {
		return nil, err
	}
	return &Node{Server: s, Keys: ring, killSwitch: ks, cancel: func() {}, done: make(chan struct{})}, nil
}

// Start runs the node in the background until Stop or Kill.
func (n *Node) Start() { n.startOnce.Do(n.start) }

func (n *Node) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		n.err = n.Run(ctx)
	}()
}

// Stop shuts the node down gracefully, waits until it has ended and returns its error.
// A node that was not started ends like one that is killed.
func (n *Node) Stop() error {
	n.startOnce.Do(func() {
		n.Server.Kill()
		n.start() // a killed server ends at once, and closes its listeners
	})
	n.stopOnce.Do(n.cancel)
	<-n.done
	return n.err
}

// Kill ends the node like a crash of its process: nothing that it sends from now on
// reaches another process.
func (n *Node) Kill() {
	n.killSwitch.trigger()
	n.Server.Kill()
	n.Start() // if it was not started: a killed server ends at once, and closes its listeners
	<-n.done
}

// readyPollInterval is the interval at which AwaitReady checks a starting node.
const readyPollInterval = 5 * time.Millisecond

// AwaitReady waits until the node serves callers. It returns the node's error if the
// node ends first, and the error of ctx if ctx does.
func (n *Node) AwaitReady(ctx context.Context) error {
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for !n.Ready() {
		select {
		case <-tick.C:
		case <-n.done:
			return n.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// ApplyConfig puts the first version of a configuration in force in the platform's
// stores.
func ApplyConfig(ctx context.Context, tb store.Table, objects store.Objects, c *config.Config) error {
	doc, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = command.NewConfiguration(command.Deps{Table: tb, Objects: objects}).Apply(ctx, command.ApplyRequest{Author: "local", Document: doc})
	return err
}

// keyHash returns the hash by which settings and configurations name a key.
func keyHash(key string) string {
	return apikey.HashOf(key).String()
}
