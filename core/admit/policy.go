// Package admit decides which requests of one host may be dispatched now, which wait and
// which are refused without having run. It has no goroutines, locks or clock;
// node/admission carries out its decisions.
package admit

import (
	"math"
	"time"

	"peridotpier.example/core/class"
	"peridotpier.example/core/config"
)

// Policy is the combination of a preset, the class rules and the capacity for one pool.
type Policy struct {
	Slots          int     // requests that this host may have in flight in the pool
	UrgentHeadroom float64 // share of the slots reserved for urgent requests
	BulkShare      float64 // largest share of the slots that bulk requests may hold
	AcceptBulk     bool
	MaxQueue       [class.Count]int // maximum number of waiting requests by class
}

// Parameters of admission.
const (
	defaultMaxQueue = 64 // maximum number of waiting requests of a class without a bound of its own

	// newcomerShare is the share of the slots that a team above its fair share leaves free,
	// so that a team below its share gets one at once instead of waiting for a release.
	newcomerShare = 1.0 / 8

	// activeWindow is how long after its last request a team counts for the fair shares. It is
	// long enough that a team with a request every few seconds keeps its share.
	activeWindow = 30 * time.Second

	holdSampleWeight = 1.0 / 16 // weight of a new sample in the mean time that a slot is held

	// keepWaitShare is the share of its predicted wait that must still fit for a queued
	// request to be kept: a queued request is given up only when even half the predicted
	// wait is too long, because the prediction is noisy and a refusal is final.
	keepWaitShare = 0.5

	minRetryAfter = 250 * time.Millisecond // shortest Retry-After; an immediate retry would meet the same queue

	// hostImbalance is the factor by which one host may exceed an even share of the
	// capacity, because the balancer does not distribute long streams evenly.
	hostImbalance = 1.25
)

// NewPolicy combines a preset, the class rules and the slots of a pool.
func NewPolicy(p config.Preset, rules []config.ClassRule, slots int) Policy {
	out := Policy{Slots: slots, UrgentHeadroom: p.UrgentHeadroom, BulkShare: p.BulkShare, AcceptBulk: p.AcceptBulk}
	for i := range out.MaxQueue {
		out.MaxQueue[i] = defaultMaxQueue
	}
	for _, r := range rules {
		if r.MaxQueue > 0 {
			out.MaxQueue[r.Class] = r.MaxQueue
		}
	}
	return out
}

// HostSlots returns one host's share of the batch slots that a pool's endpoints have together.
func HostSlots(batches, hosts int) int {
	if batches <= 0 {
		return 0
	}
	return int(math.Ceil(float64(batches) * hostImbalance / float64(max(hosts, 1))))
}

// maxSlots returns how many slots the requests of class c and of all less urgent classes
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
