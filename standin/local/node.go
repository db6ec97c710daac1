// Package local runs real nodes beside the stand-ins in one process on
// loopback: for the demo, the bench and tests of the whole path.
package local

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"go.uber.org/zap"

	"peridotpier.example/core/token"
	"peridotpier.example/node/server"
	"peridotpier.example/node/settings"
)

// AnyPort lets the system choose a port on loopback.
const AnyPort = "127.0.0.1:0"

// OperatorKey is the key of the operator "bench" on every local node.
const OperatorKey = "local-operator-key"

// Settings returns settings for one local node.
func Settings(host, dataCentre string) *settings.Settings {
	hash := sha256.Sum256([]byte(OperatorKey))
	const platform = "http://127.0.0.1:1" // not dialled: the platform is passed in
	s := &settings.Settings{Host: host, DataCentre: dataCentre,
		Caller:   settings.Listener{Address: AnyPort},
		Operator: settings.Operator{Address: AnyPort, Operators: []settings.OperatorKey{{Name: "bench", KeyHash: hex.EncodeToString(hash[:])}}},
		Peer:     settings.Listener{Address: AnyPort},
		Platform: settings.Platform{Table: platform, Objects: platform, Hosts: platform, Weights: platform},
		Keys:     settings.Keys{Resume: []settings.KeyFile{{ID: "k1", File: "-"}}, PrefixSalt: "-"},
	}
	s.SetDefaults()
	return s
}

// Secrets returns the keys that all local nodes share.
func Secrets() server.Secrets {
	keys, err := token.NewKeys(token.Key{ID: "k1", Secret: bytes.Repeat([]byte("local"), 8)})
	if err != nil {
		panic(err) // a constant key
	}
	return server.Secrets{Resume: keys, PrefixSalt: "local salt of 32 bytes or more.."}
}

// Node is one running node.
type Node struct {
	*server.Server
	stop context.CancelFunc
	once sync.Once
	done chan struct{}
	err  error
}

// StartNode runs a node until Stop.
func StartNode(set *settings.Settings, p server.Platform, log *zap.Logger) (*Node, error) {
	s, err := server.New(server.Config{Settings: set, Secrets: Secrets(), Platform: p, Log: log})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{Server: s, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		n.err = s.Run(ctx)
	}()
	return n, nil
}

// Stop shuts the node down gracefully and waits for it.
func (n *Node) Stop() error {
	n.once.Do(n.stop)
	<-n.done
	return n.err
}
