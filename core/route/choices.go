package route

// selection compares a few endpoints for one request and keeps the best.
//
// Comparing all of them would send every host that shares one stale report to
// the same endpoint until the next report: one would notice queues that jump
// from endpoint to endpoint at the pace of the reports. Comparing a few drawn
// at random spreads the hosts, and still avoids the long queues.
type selection struct {
	p    *staged
	s    *Snapshot
	r    *Request
	best Decision
	home int32
}

// consider enters one endpoint; it tells why the endpoint was refused.
func (c *selection) consider(index int32) Reason {
	if index < 0 {
		return NoReplica
	}
	e := &c.s.Endpoints[index]
	if reason := c.p.check(e, c.r); reason != Found {
		return reason
	}
	score := c.p.predict(e, c.r, index == c.home)
	if c.best.Index < 0 || score < c.best.Score {
		c.best = Decision{Index: int(index), Reason: Found, Score: score}
	}
	return Found
}

// sampleRandom enters Choices distinct endpoints drawn at random. When random
// probes find too few that pass the filters, a full pass from a random start
// makes sure that none is overlooked.
func (c *selection) sampleRandom(candidates []int32, src Source) Reason {
	n, want := uint64(len(candidates)), min(c.p.cfg.Choices, len(candidates))
	var seen [maxChoices * probesPerChoice]int32
	drawn, found := 0, 0
	for drawn < want*probesPerChoice && found < want {
		i := candidates[src.Uint64N(n)]
		seen[drawn] = i
		if !contains(seen[:drawn], i) && c.consider(i) == Found {
			found++
		}
		drawn++
	}
	if found == want {
		return Found
	}
	return c.scan(candidates, src.Uint64N(n), seen[:drawn], want-found)
}

// scan offers the endpoints not yet seen, from a random start, until enough
// were found. AllBusy outweighs AllAvoid: a busy replica may free itself.
func (c *selection) scan(candidates []int32, start uint64, seen []int32, want int) Reason {
	worst, at := AllExcluded, int(start)
	for range candidates {
		i := candidates[at]
		if at++; at == len(candidates) {
			at = 0
		}
		switch c.consider(i) {
		case Found:
			if contains(seen, i) {
				continue // offered before; to offer it again changes nothing
			}
			if want--; want <= 0 {
				return Found
			}
		case AllBusy:
			worst = AllBusy
		}
	}
	return worst
}

func contains(list []int32, i int32) bool {
	for _, x := range list {
		if x == i {
			return true
		}
	}
	return false
}
