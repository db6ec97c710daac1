package route

// selection compares a few endpoints for one request and keeps the best.
//
// If all endpoints were compared, every host with the same stale report would choose the
// same endpoint until the next report, and long queues would move from endpoint to
// endpoint with each report. Comparing a few random ones spreads the hosts and still
// avoids the long queues.
type selection struct {
	p    *staged
	s    *Snapshot
	r    *Request
	best Decision
	home int32 // home endpoint of the request's prefix; -1 if it has none
}

// consider compares one endpoint with the best so far. It returns Found, or the reason why
// the endpoint cannot be used.
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

// sampleRandom considers Choices distinct random endpoints. If random probes find too few
// that pass the filters, it scans all candidates from a random position, so that no
// usable endpoint is missed.
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

// scan considers the endpoints not yet seen, from position start on, until enough are
// found. AllBusy takes precedence over AllExcluded, because a busy replica may become free.
func (c *selection) scan(candidates []int32, start uint64, seen []int32, want int) Reason {
	reason, position := AllExcluded, int(start)
	for range candidates {
		i := candidates[position]
		if position++; position == len(candidates) {
			position = 0
		}
		switch c.consider(i) {
		case Found:
			if contains(seen, i) {
				continue // considered before; considering it again changes nothing
			}
			if want--; want <= 0 {
				return Found
			}
		case AllBusy:
			reason = AllBusy
		}
	}
	return reason
}

func contains(list []int32, i int32) bool {
	for _, x := range list {
		if x == i {
			return true
		}
	}
	return false
}
