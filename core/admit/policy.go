// Package admit decides which requests of one host may be dispatched now,
// which wait and which are refused before they ran. It has no goroutines, no
// locks and no clock: node/admission executes what it decides.
package admit

import (
	"math"
	"time"

	"peridotpier.example/core/class"
	"peridotpier.example/core/config"
)

// Policy is what a preset, the classes and the capacity say for one pool.
type Policy struct {
	Slots          int     // requests that this host may have in flight in the pool
	UrgentHeadroom float64 // share of the slots kept for urgent requests
	BulkShare      float64 // most of the slots that bulk may hold
	AcceptBulk     bool
	QueueMax       [class.Count]int // waiting requests by class
}

// Tuning of admission, with the reasons.
const (
	defaultQueueMax = 64 // waiting requests of a class that names no bound

	// Slots that a team over its fair share leaves free, so that a team under
	// its share finds one at once instead of waiting for a release.
	newcomerShare = 1.0 / 8

	// A team counts for the fair shares this long after its last request. Long
	// enough that a team with a request every few seconds keeps its share.
	activeWindow = 30 * time.Second

	holdSampleWeight = 1.0 / 16 // of a new sample in the mean time that a slot is held

	// Part of the predicted wait that must still fit for a queued request to be
	// kept: one already queued is given up only when even half the prediction
	// is too long, since the prediction is noisy and a refusal is final.
	keepWaitShare = 0.5

	minRetryAfter = 250 * time.Millisecond // shortest advice; an instant retry meets the same queue

	// hostImbalance is by how much one host may exceed an even part of the
	// capacity: the balancer does not spread long streams evenly.
	hostImbalance = 1.25
)

// NewPolicy combines a preset, the class rules and the slots of a pool.
func NewPolicy(p config.Preset, rules []config.ClassRule, slots int) Policy {
	out := Policy{Slots: slots, UrgentHeadroom: p.UrgentHeadroom, BulkShare: p.BulkShare, AcceptBulk: p.AcceptBulk}
	for i := range out.QueueMax {
		out.QueueMax[i] = defaultQueueMax
	}
	for _, r := range rules {
		if r.MaxQueue > 0 {
			out.QueueMax[r.Class] = r.MaxQueue
		}
	}
	return out
}

// HostSlots is one host's part of the places that a pool's endpoints have
// together.
func HostSlots(batches, hosts int) int {
	if batches <= 0 {
		return 0
	}
	return int(math.Ceil(float64(batches) * hostImbalance / float64(max(hosts, 1))))
}

// maxSlots is the most slots that requests of class c and all more patient ones
// may hold together.
func (p Policy) maxSlots(c class.Class) int {
	if c == class.Urgent || p.Slots <= 1 {
		return p.Slots
	}
	standard := max(p.Slots-int(math.Ceil(p.UrgentHeadroom*float64(p.Slots))), 1)
	if c == class.Standard {
		return standard
	}
	return min(int(math.Ceil(p.BulkShare*float64(p.Slots))), standard)
}
