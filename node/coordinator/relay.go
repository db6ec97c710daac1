package coordinator

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/revision"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// relay adds what the store told this host and the other does not have yet.
func (c *Coordinator) relay(r *coordpb.HostReport, out *coordpb.SiteState) error {
	out.StoreAgeMs = uint32(min(c.deps.Feed.Age(), time.Hour).Milliseconds())
	if err := c.relayConfig(r, out); err != nil {
		return err
	}
	if r.BriefList && milliseconds(out.PeriodMs) > reportPeriod {
		return c.relayBrief(r, out)
	}
	at := c.deps.Feed.UpstreamsAt() // before the list: it may be newer than what is said of it
	from := c.listedUpTo(r)
	if from == 0 && r.PackedList { // without a copy of the list for each that asks
		return c.relayWhole(at, out)
	}
	change := c.deps.Fleet.Since(from, false)
	if change.Full && r.PackedList {
		return c.relayWhole(at, out)
	}
	put, err := c.encodings.upstreams(change.Put)
	out.List, out.ListAt, out.ListFull, out.Put, out.Gone = change.To, at, change.Full, put, change.Gone
	return err
}

// listedUpTo is up to which state of the list a host knows it; 0: not at all.
func (c *Coordinator) listedUpTo(r *coordpb.HostReport) uint64 {
	if r.List != 0 {
		return r.List
	}
	return c.deps.Fleet.StateAt(r.ListAt)
}

// relayWhole adds the whole list, packed.
func (c *Coordinator) relayWhole(at uint64, out *coordpb.SiteState) error {
	w, err := c.encodings.whole(c.now(), at, func() fleet.Change { return c.deps.Fleet.Since(0, false) })
	if err != nil {
		return err
	}
	c.addWhole(w, out)
	return nil
}

// addWhole adds a whole list, unless this host's link is busy with those for others:
// a host that is told nothing of the list asks again with its next report.
func (c *Coordinator) addWhole(w wholeList, out *coordpb.SiteState) {
	if c.lists.take(len(w.packed), c.cfg.LinkMbps, c.now()) {
		out.List, out.ListAt, out.ListFull, out.PackedList = w.to, w.at, true, w.packed
	}
}

// relayBrief adds what every host needs of the list, as published.
func (c *Coordinator) relayBrief(r *coordpb.HostReport, out *coordpb.SiteState) error {
	out.ListBrief = true
	p := &c.published
	if err := p.publish(c.deps.Fleet, c.deps.Feed.UpstreamsAt(), c.now()); err != nil {
		return err
	}
	changes, to, at, ok := p.since(c.listedUpTo(r))
	if ok {
		out.List, out.ListAt, out.PackedChanges = to, at, changes
		return nil
	}
	w, err := p.wholeList(c.deps.Fleet, c.now())
	if err != nil {
		return err
	}
	c.addWhole(w, out)
	if changes, to, at, ok := p.since(w.to); ok && out.ListFull { // the list may be of a moment ago
		out.List, out.ListAt, out.PackedChanges = to, at, changes
	}
	return nil
}

// relayConfig adds the configuration if it is newer than the other's.
func (c *Coordinator) relayConfig(r *coordpb.HostReport, out *coordpb.SiteState) (err error) {
	t := c.deps.Config.Current()
	if t == nil || t.Config.Version <= r.Config {
		return nil
	}
	plain, packed, err := c.encodings.config(t.Config)
	if r.Packed {
		out.PackedConfig = packed
	} else {
		out.Config = plain
	}
	return err
}

// encodings keeps what is told to all hosts in the form in which it is sent.
// Each version of a configuration, and each change of an upstream, goes to every
// host within a fraction of a second: while models were moved, up to 14,000
// upstreams a second were encoded for 195 hosts.
type encodings struct {
	mu     sync.Mutex
	of     *deploy.Config // that plain and packed are of
	plain  []byte
	packed []byte
	listed map[string]encodedUpstream // by upstream
	all    wholeList
}

// wholeList is the list at one state, packed.
type wholeList struct {
	to     uint64 // state
	at     uint64 // the store's version that it is of
	packed []byte
	made   time.Time
}

// wholeFor is how long a packed list is handed out. All hosts that start together
// ask for it within this time, while it changes many times; what is newer goes to
// each with its next report. With 3,000 upstreams the list takes 1.2 MB of text for
// each of 299 hosts.
const wholeFor = 500 * time.Millisecond

// whole returns the list, packed; it is read anew when that is too old. at is the
// store's version that it is of then, at least.
func (e *encodings) whole(now time.Time, at uint64, read func() fleet.Change) (wholeList, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.all.at > 0 && now.Sub(e.all.made) < wholeFor {
		return e.all, nil
	}
	all := read()
	packed, err := packList(plainOf(all.Put, false))
	if err != nil {
		return wholeList{}, err
	}
	e.all = wholeList{to: all.To, at: at, packed: packed, made: now}
	return e.all, nil
}

// plainOf are upstreams as they are told; brief leaves out which copies they have.
func plainOf(put []fleet.Listed, brief bool) []deploy.Upstream {
	out := make([]deploy.Upstream, len(put))
	for i := range put {
		out[i] = put[i].Upstream
		if brief {
			out[i].InMemory, out[i].OnDisk = nil, nil
		}
	}
	return out
}

// packList packs a list, or changes of it.
func packList(v any) ([]byte, error) {
	plain, err := json.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encode list")
	}
	packed, err := revision.Compress(plain)
	return packed, eris.Wrap(err, "pack list")
}

type encodedUpstream struct {
	since uint64 // state of the list
	data  []byte
}

// config returns a configuration as JSON, and that packed. A configuration of
// 340 models is 44 kB and more: to tell 195 hosts of a new version took a link
// of 200 Mbit/s for a third of a second, in which no turns were given.
func (e *encodings) config(cfg *deploy.Config) (plain, packed []byte, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.of == cfg {
		return e.plain, e.packed, nil
	}
	if plain, err = json.Marshal(cfg); err != nil {
		return nil, nil, eris.Wrap(err, "encode configuration")
	}
	if packed, err = revision.Compress(plain); err != nil {
		return nil, nil, eris.Wrap(err, "pack configuration")
	}
	e.of, e.plain, e.packed = cfg, plain, packed
	return plain, packed, nil
}

// upstreams returns each upstream as JSON.
func (e *encodings) upstreams(all []fleet.Listed) ([][]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([][]byte, len(all))
	for i := range all {
		l := &all[i]
		known, ok := e.listed[l.ID]
		if !ok || known.since != l.Since {
			data, err := json.Marshal(l.Upstream)
			if err != nil {
				return nil, eris.Wrapf(err, "encode upstream %s", l.ID)
			}
			known = encodedUpstream{l.Since, data}
			e.keep(l.ID, known)
		}
		out[i] = known.data
	}
	return out, nil
}

// encodedMost is how many encodings are kept: more than upstreams are listed at
// a time. Beyond it those of upstreams that are gone are dropped with the rest.
const encodedMost = 4096

func (e *encodings) keep(upstream string, u encodedUpstream) {
	if e.listed == nil || len(e.listed) >= encodedMost {
		e.listed = map[string]encodedUpstream{}
	}
	e.listed[upstream] = u
}

// configOf reads the configuration of an answer; nil: it brings none.
func configOf(s *coordpb.SiteState) (*deploy.Config, error) {
	data := s.Config
	if len(s.PackedConfig) > 0 {
		var err error
		if data, err = revision.Unpack(s.PackedConfig); err != nil {
			return nil, eris.Wrap(err, "unpack configuration")
		}
	}
	if len(data) == 0 {
		return nil, nil
	}
	cfg := new(deploy.Config)
	if err := json.Unmarshal(data, cfg); err != nil {
		return nil, eris.Wrap(err, "decode configuration")
	}
	return cfg, nil
}

// listOf reads the list of an answer, or its changes.
func listOf(s *coordpb.SiteState) (put []deploy.Upstream, gone []string, err error) {
	if put, err = upstreamsOf(s); err != nil || len(s.PackedChanges) == 0 {
		return put, s.Gone, err
	}
	return readChanges(put, s.PackedChanges)
}

// upstreamsOf reads the upstreams of an answer.
func upstreamsOf(s *coordpb.SiteState) ([]deploy.Upstream, error) {
	if len(s.PackedList) == 0 {
		return decode(s.Put)
	}
	data, err := revision.Unpack(s.PackedList)
	if err != nil {
		return nil, eris.Wrap(err, "unpack list")
	}
	var out []deploy.Upstream
	return out, eris.Wrap(json.Unmarshal(data, &out), "decode list")
}

// decode reads upstreams that another host encoded.
func decode(all [][]byte) ([]deploy.Upstream, error) {
	out := make([]deploy.Upstream, len(all))
	for i, data := range all {
		if err := json.Unmarshal(data, &out[i]); err != nil {
			return nil, eris.Wrap(err, "decode upstream")
		}
	}
	return out, nil
}
