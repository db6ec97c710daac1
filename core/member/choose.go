package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weight is the rendezvous weight of a pair. A host that comes or goes moves
// only the choices that fall on it.
func weight(a, b string) uint64 { return mix(xxhash.Sum64String(a), xxhash.Sum64String(b)) }

// Links chooses the hosts to which self keeps a link: local ones of its own
// data centre and remote ones of others, by rendezvous hash. Each host thus
// pays for a fixed number of links however large the fleet is; others' choices
// add about as many. The choices at random make the links' graph connected
// almost surely, and its diameter grows with the logarithm of the fleet.
func Links(self Host, hosts []Host, local, remote int) []Host {
	var near, far []Host
	for _, h := range hosts {
		switch {
		case h.Name == self.Name || h.State == Gone || h.State == Suspect:
		case h.DataCentre == self.DataCentre:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	return append(top(self.Name, near, local), top(self.Name, far, remote)...)
}

// Rank orders hosts by their weight for a key, highest first.
func Rank(key string, hosts []Host) []Host { return top(key, hosts, len(hosts)) }

func top(key string, hosts []Host, n int) []Host {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(weight(key, b.Name), weight(key, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return hosts[:min(n, len(hosts))]
}

// Watchers are how many hosts watch one upstream: two in its own data centre,
// so that one may fail, and one elsewhere, which still sees it when the hosts
// of that data centre are all gone.
const (
	watchersNear = 2
	watchersFar  = 1
)

// Watches says whether self is among the watchers of an upstream.
func Watches(self string, upstream, dataCentre string, hosts []Host) bool {
	near, far := 0, 0 // hosts with a higher weight than self
	own := weight(upstream, self)
	selfNear := false
	for _, h := range hosts {
		if h.Name == self {
			selfNear = h.DataCentre == dataCentre
			continue
		}
		if h.State != Alive {
			continue
		}
		higher := weight(upstream, h.Name) > own
		if h.DataCentre == dataCentre {
			near += btoi(higher)
		} else {
			far += btoi(higher)
		}
	}
	if selfNear {
		return near < watchersNear
	}
	return far < watchersFar
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
