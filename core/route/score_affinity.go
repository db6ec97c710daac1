package route

// affinityScan bounds how many endpoints are asked for a cached prefix in one
// pick; a model seldom has more replicas.
const affinityScan = 32

// affinityScorer credits an endpoint whose cache is said to hold the
// request's prefix. Cache events come late and with gaps, so the credit is
// never more than the prefill it would save, and nothing at all on an endpoint
// that is loaded past the bound: otherwise a popular prefix would pull all its
// requests into one queue.
type affinityScorer struct {
	cfg Config
}

func (a affinityScorer) score(e *Endpoint, r *Request, home bool) float64 {
	if r.Prefix == 0 || float64(e.load()) >= a.cfg.AffinityMaxLoad*float64(max(e.MaxBatch, 1)) {
		return 0
	}
	saving := a.cfg.AffinityShare * e.PrefillMs
	switch {
	case e.Prefixes[r.Prefix]:
		return -saving
	case home:
		return -saving * a.cfg.HomeShare
	default:
		return 0
	}
}

// homeEndpoint names the endpoint where requests of one prefix meet while no cache
// event tells where it is held. All hosts that see the same candidates agree
// on it without a word between them.
func homeEndpoint(candidates []int32, prefix uint64) int32 {
	if prefix == 0 {
		return -1
	}
	return candidates[mix(prefix)%uint64(len(candidates))]
}

// prefixHolder finds an endpoint said to hold the prefix, nearest after its
// home in the candidates' order; -1 when none of those asked does.
func prefixHolder(s *Snapshot, candidates []int32, prefix uint64) int32 {
	n := uint64(len(candidates))
	start := mix(prefix) % n
	for k := range min(n, affinityScan) {
		if i := candidates[(start+k)%n]; s.Endpoints[i].Prefixes[prefix] {
			return i
		}
	}
	return -1
}

// mix spreads a hash whose low bits may be poor (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
