package route

// affinityScan bounds how many endpoints are checked for a cached prefix in one pick. A
// model rarely has more replicas.
const affinityScan = 32

// affinityScorer gives a credit to an endpoint whose cache is reported to contain the
// request's prefix. Cache events arrive late and with gaps, so the credit never exceeds
// the prefill time that a hit would save. An endpoint with a load above the bound gets no
// credit; otherwise a popular prefix would draw all its requests into one queue.
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

// homeEndpoint returns the endpoint to which the requests of one prefix are drawn while no
// cache event tells where the prefix is cached. All hosts with the same candidates choose
// the same endpoint without communication.
func homeEndpoint(candidates []int32, prefix uint64) int32 {
	if prefix == 0 {
		return -1
	}
	return candidates[mix(prefix)%uint64(len(candidates))]
}

// prefixHolder returns an endpoint that is reported to have the prefix cached: the nearest
// after the prefix's home in the order of the candidates, or -1 if none of those checked has.
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

// mix scrambles a hash whose low bits may be poorly distributed (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
