// Package keys holds what a host proves itself and others by: the certificates
// of its listeners, the authorities that it trusts, and the keys of resume
// tokens. It reads their files again when they change, so that none of them
// needs a restart; docs/design/keys.md tells why it looks the way it does.
// Nothing that it returns or logs contains a secret.
package keys

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/core/token"
	"peridotpier.example/node/event"
	"peridotpier.example/node/settings"
)

const (
	// defaultCheckInterval is the mean time between two looks at the files. A changed
	// file is in force on all hosts within half as much again.
	defaultCheckInterval = 10 * time.Second
	// checksPerFullRead is how many looks pass until the files are read whatever their
	// stamps: a copy that keeps time and size would be missed for good.
	checksPerFullRead = 30
	// minSecretBytes is the least length of a secret, in bytes.
	minSecretBytes = 32
)

// Config says what a Ring keeps.
type Config struct {
	Settings *settings.Settings
	// File is the settings file, of which keys.resume is read again when it
	// changes; "": the list stays as it is in Settings.
	File          string
	CheckInterval time.Duration // mean time between two looks; 0: 10 s
}

// Deps are what a Ring works with; zero values take the process's own.
type Deps struct {
	Files Files
	Log   *event.Log
	Now   func() time.Time
}

// Ring is one host's keys and certificates.
type Ring struct {
	cfg      Config
	deps     Deps
	salt     string
	tokens   atomic.Pointer[token.Keys]
	caller   *identity
	operator *identity
	peer     *identity
	refusals refusalLog

	mu       sync.Mutex // one look at a time
	fileSets []*fileSet
	reloads  int
}

// Load reads everything that the settings name; a fault in any is an error.
func Load(cfg Config, deps Deps) (*Ring, error) {
	if cfg.CheckInterval == 0 {
		cfg.CheckInterval = defaultCheckInterval
	}
	if deps.Files == nil {
		deps.Files = Disk{}
	}
	if deps.Log == nil {
		deps.Log = event.NewLog(nil)
	}
	if deps.Now == nil {
		deps.Now = time.Now
	}
	r := &Ring{cfg: cfg, deps: deps, refusals: newRefusalLog(deps.Log)}
	salt, err := deps.Files.Read(cfg.Settings.Keys.PrefixSalt)
	if err != nil {
		return nil, eris.Wrap(err, "keys.prefix_salt_file")
	}
	if len(salt) < minSecretBytes {
		return nil, fmt.Errorf("keys.prefix_salt_file: %d bytes, at least %d are needed", len(salt), minSecretBytes)
	}
	r.salt = string(salt)
	r.fileSets = []*fileSet{{name: "keys.resume", load: r.loadResumeKeys}}
	set := cfg.Settings
	r.caller = r.identity("caller", set.Caller, kindCaller)
	r.operator = r.identity("operator", set.Operator.Listener(), kindOperator)
	r.peer = r.identity("peer", set.Peer, kindPeer)
	for _, p := range r.fileSets {
		if _, err := p.reload(deps.Files, true); err != nil {
			return nil, eris.Wrap(err, p.name)
		}
	}
	return r, nil
}

// Run looks at the files from time to time until ctx ends. The time between
// two looks varies, so that the hosts of a site do not all look at once.
func (r *Ring) Run(ctx context.Context) error {
	for {
		t := time.NewTimer(time.Duration(float64(r.cfg.CheckInterval) * (0.5 + rand.Float64())))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
			r.Reload()
		}
	}
}

// Reload puts in force what changed. What cannot be used is logged, and what was
// in force stays: a half-copied file must not take a host out of service.
func (r *Ring) Reload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reloads++
	for _, p := range r.fileSets {
		changed, err := p.reload(r.deps.Files, r.reloads%checksPerFullRead == 0)
		switch {
		case err != nil:
			r.deps.Log.Emit(event.KeysRefused, zap.String("what", p.name), zap.String("reason", err.Error()))
		case changed:
			r.deps.Log.Emit(event.KeysReloaded, zap.String("what", p.name))
		}
	}
	for _, id := range []*identity{r.caller, r.operator, r.peer} {
		id.warnOfExpiry(r.deps.Log, r.deps.Now())
	}
}

// loadResumeKeys reads the resume keys. Their list stands in the settings file, so
// that file is one of theirs.
func (r *Ring) loadResumeKeys(rd *reader) (func(), error) {
	list := r.cfg.Settings.Keys.Resume
	if r.cfg.File != "" {
		data, err := rd.read(r.cfg.File)
		if err != nil {
			return nil, err
		}
		set, faults := settings.Parse(data)
		if len(faults) > 0 {
			return nil, fmt.Errorf("settings file has %d faults, the first at %s", len(faults), faults[0].Path)
		}
		list = set.Keys.Resume
	}
	var keys []token.Key
	for i, k := range list {
		secret, err := rd.read(k.File)
		if err != nil {
			return nil, eris.Wrapf(err, "keys.resume[%d]", i)
		}
		keys = append(keys, token.Key{ID: k.ID, Secret: secret})
	}
	checked, err := token.NewKeys(keys...)
	if err != nil {
		return nil, err
	}
	return func() { r.tokens.Store(checked) }, nil
}

// Encode signs a resume token with the key that is first now.
func (r *Ring) Encode(t token.Token) (string, error) { return r.tokens.Load().Encode(t) }

// Decode checks a resume token against all keys in force now.
func (r *Ring) Decode(s, team string, now time.Time) (token.Token, error) {
	return r.tokens.Load().Decode(s, team, now)
}

// PrefixSalt returns the secret that prefix hashes are salted with. It is not
// read again: hosts with different salts would send equal prompts different ways.
func (r *Ring) PrefixSalt() string { return r.salt }
