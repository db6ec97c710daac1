// Package keys provides the credentials of a host: the certificates of its
// listeners, the authorities that it trusts, and the keys of resume tokens. It reads
// their files again when they change, so that no change needs a restart;
// docs/design/keys.md explains how it detects changes and why. Its errors and log
// entries contain no secret.
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
	// defaultCheckInterval is the mean time between two checks of the files. A
	// changed file is in force on all hosts within 1.5 times the interval.
	defaultCheckInterval = 10 * time.Second
	// checksPerFullRead is the number of checks after which the files are read
	// whatever their stamps are: a copy that keeps modification time and size would
	// otherwise never be detected.
	checksPerFullRead = 30
	// minSecretBytes is the minimum length of a secret.
	minSecretBytes = 32
)

// Config configures a Ring.
type Config struct {
	Settings *settings.Settings
	// File is the settings file, whose list keys.resume is read again when the file
	// changes; "": the list stays as it is in Settings.
	File          string
	CheckInterval time.Duration // mean time between two checks of the files; 0: 10 s
}

// Deps are the dependencies of a Ring. Zero values stand for the local file system,
// no log and the system clock.
type Deps struct {
	Files Files
	Log   *event.Log
	Now   func() time.Time
}

// Ring is the key ring of one host: its keys and certificates. It is safe for
// concurrent use.
type Ring struct {
	cfg      Config
	deps     Deps
	salt     string
	tokens   atomic.Pointer[token.Keys]
	caller   *identity
	operator *identity
	peer     *identity
	refusals refusalLog

	mu       sync.Mutex // guards what follows; one reload at a time
	fileSets []*fileSet
	reloads  int
}

// Load returns a ring with all files that the settings name. A fault in any of them
// is an error.
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

// Run checks the files repeatedly until ctx ends. The time between two checks varies,
// so that the hosts of a site do not all check at the same time.
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

// Reload checks the files and puts changed ones in force. If changed files can't be
// used, it logs that and keeps what is in force: a half-copied file must not take a
// host out of service.
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

// loadResumeKeys reads and checks the resume keys, and returns a function that puts
// them in force. Their list is in the settings file, so that file belongs to the set.
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

// Encode signs a resume token with the first key in force.
func (r *Ring) Encode(t token.Token) (string, error) { return r.tokens.Load().Encode(t) }

// Decode checks a resume token against all keys in force.
func (r *Ring) Decode(s, team string, now time.Time) (token.Token, error) {
	return r.tokens.Load().Decode(s, team, now)
}

// PrefixSalt returns the secret with which prefix hashes are salted. It is never read
// again: hosts with different salts would route equal prompts to different upstreams.
func (r *Ring) PrefixSalt() string { return r.salt }
