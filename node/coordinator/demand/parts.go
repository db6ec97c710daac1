package demand

import (
	"time"
)

// part is a part of the demand for a model.
type part struct {
	dataCentre string // of the hosts that reported it; "": not stated
	rank       int    // urgency rank of the requests
}

// parts is the engine time of the parts of one model's demand, in seconds, which decays with
// the whole. It grows with the data centres and ranks of the deployment.
type parts map[part]float64

const (
	// maxRanks bounds how many urgency ranks are told apart: those beyond count as the last
	// one. A deployment with many teams has many, and few of them share a model.
	maxRanks = 8
	// unservedSeconds is what a request that found no replica counts, so that the demand of
	// a model that nobody has been served has parts too.
	unservedSeconds = 0.001
	// negligibleSeconds is the engine time below which a part is forgotten.
	negligibleSeconds = 1e-6
)

func rankOf(rank uint32) int { return min(int(rank), maxRanks-1) }

func (p *parts) add(at part, seconds float64) {
	if *p == nil {
		*p = parts{}
	}
	(*p)[at] += seconds
}

// scale multiplies all parts by a share.
func (p parts) scale(share float64) {
	for at, seconds := range p {
		if seconds *= share; seconds < negligibleSeconds {
			delete(p, at)
			continue
		}
		p[at] = seconds
	}
}

// loads returns the engine load by data centre and by rank, the most urgent first; nil where
// there is one only.
func (p parts) loads() (byDataCentre map[string]float64, byRank []float64) {
	ranks, stated := 0, ""
	for at := range p {
		ranks = max(ranks, at.rank+1)
		stated = max(stated, at.dataCentre)
	}
	if stated != "" {
		byDataCentre = map[string]float64{}
	}
	byRank = make([]float64, ranks)
	for at, seconds := range p {
		load := seconds / decayTime.Seconds()
		byRank[at.rank] += load
		if at.dataCentre != "" {
			byDataCentre[at.dataCentre] += load
		}
	}
	return byDataCentre, byRank
}

// steadyFactor is how far a load may rise or fall and still count as the same.
const steadyFactor = 2.0

// steadyLoad knows how long a load has been about the same.
type steadyLoad struct {
	load  float64
	since time.Time
}

// update records the load now and returns for how long it has been about the same.
func (s *steadyLoad) update(load float64, now time.Time) time.Duration {
	if load > s.load*steadyFactor || load < s.load/steadyFactor || s.since.IsZero() {
		s.load, s.since = load, now
	}
	return now.Sub(s.since)
}
