package relay

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/revision"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/store"
)

// encodings caches what is sent to all hosts in its encoded form. Each version of a
// configuration, and each change of an upstream, goes to every host within a fraction
// of a second: while models were moved, up to 14,000 upstreams a second were encoded
// for 195 hosts.
type encodings struct {
	mu           sync.Mutex
	configOf     *deploy.Config // configuration that is encoded in configJSON and configPacked
	configJSON   []byte
	configPacked []byte
	upstreamJSON map[string]encodedUpstream // by upstream ID
	fullList     packedList
	compactList  packedList // without local copies
}

// packedList is the complete list at one state, compressed.
type packedList struct {
	state        uint64 // state of the fleet's list
	storeVersion uint64 // the store's version of the list
	data         []byte
	packedAt     time.Time
}

// sameEra reports whether the list is of the era of a version of the store. Hosts that
// have read the store of a later era do not use it.
func (l *packedList) sameEra(version uint64) bool {
	return store.EraOf(l.storeVersion) == store.EraOf(version)
}

// packedListMaxAge is how long a packed list is sent. All hosts that start together ask
// for it within this time, while it changes many times; newer changes reach each host
// with the answer to its next report. With 3,000 upstreams the list takes 1.2 MB of
// text for each of 299 hosts.
const packedListMaxAge = 500 * time.Millisecond

// packedList returns the complete list, packed, compact or not. It is built anew if the
// cached one is too old, and is then of the store's version storeVersion or a newer
// one.
func (e *encodings) packedList(now time.Time, storeVersion uint64, compact bool, f *fleet.Fleet) (packedList, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := &e.fullList
	if compact {
		cached = &e.compactList
	}
	if cached.storeVersion > 0 && cached.sameEra(storeVersion) && now.Sub(cached.packedAt) < packedListMaxAge {
		return *cached, nil
	}
	next, err := packFullList(f, compact, now)
	if err != nil {
		return packedList{}, err
	}
	next.storeVersion = storeVersion
	*cached = next
	return next, nil
}

// packFullList packs the present list. The caller sets the store's version.
func packFullList(f *fleet.Fleet, compact bool, now time.Time) (packedList, error) {
	all := f.ChangesSince(0, compact)
	packed, err := packList(listedUpstreams(all.Put, compact))
	return packedList{state: all.Revision, data: packed, packedAt: now}, err
}

// listedUpstreams returns the upstreams as they are sent; compact leaves out their
// local copies.
func listedUpstreams(put []fleet.Listed, compact bool) []deploy.Upstream {
	out := make([]deploy.Upstream, len(put))
	for i := range put {
		out[i] = put[i].Upstream
		if compact {
			out[i].InMemory, out[i].OnDisk = nil, nil
		}
	}
	return out
}

// packList encodes a list, or changes of it, as JSON and compresses that.
func packList(v any) ([]byte, error) {
	plain, err := json.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encode list")
	}
	packed, err := revision.Compress(plain)
	return packed, eris.Wrap(err, "pack list")
}

type encodedUpstream struct {
	state uint64 // state of the list
	data  []byte
}

// config returns a configuration as JSON, and that JSON compressed. A configuration of
// 340 models is 44 kB and more: sending a new version to 195 hosts took a link of 200
// Mbit/s for a third of a second, in which no permits were granted.
func (e *encodings) config(cfg *deploy.Config) (plain, packed []byte, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.configOf == cfg {
		return e.configJSON, e.configPacked, nil
	}
	if plain, err = json.Marshal(cfg); err != nil {
		return nil, nil, eris.Wrap(err, "encode configuration")
	}
	if packed, err = revision.Compress(plain); err != nil {
		return nil, nil, eris.Wrap(err, "pack configuration")
	}
	e.configOf, e.configJSON, e.configPacked = cfg, plain, packed
	return plain, packed, nil
}

// upstreams returns each upstream as JSON.
func (e *encodings) upstreams(all []fleet.Listed) ([][]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([][]byte, len(all))
	for i := range all {
		l := &all[i]
		cached, ok := e.upstreamJSON[l.ID]
		if !ok || cached.state != l.Revision {
			data, err := json.Marshal(l.Upstream)
			if err != nil {
				return nil, eris.Wrapf(err, "encode upstream %s", l.ID)
			}
			cached = encodedUpstream{l.Revision, data}
			e.store(l.ID, cached)
		}
		out[i] = cached.data
	}
	return out, nil
}

// maxEncoded is how many encodings are cached: more than upstreams are listed at a
// time. When it is reached all are dropped, those of removed upstreams among them.
const maxEncoded = 4096

func (e *encodings) store(upstream string, u encodedUpstream) {
	if e.upstreamJSON == nil || len(e.upstreamJSON) >= maxEncoded {
		e.upstreamJSON = map[string]encodedUpstream{}
	}
	e.upstreamJSON[upstream] = u
}
