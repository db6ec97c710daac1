package retry

// Budget limits retries to a share of the traffic. Without it an overload of the upstreams
// amplifies itself: each refusal leads to another attempt, and attempts rise by up to the
// factor Config.MaxAttempts while answers decrease. It counts requests and needs no clock.
// It belongs to one shard, and its owner must guard it.
type Budget struct {
	share  float64
	tokens float64
}

// BudgetBurst is how many retries may exceed the share of the traffic, so that a host with
// little traffic can still retry.
const BudgetBurst = 10.0

// NewBudget returns a budget that allows retries up to share (0 to 1) of the counted requests.
func NewBudget(share float64) *Budget { return &Budget{share: share, tokens: BudgetBurst} }

// CountRequest counts a first attempt, which adds share to the budget.
func (b *Budget) CountRequest() { b.tokens = min(b.tokens+b.share, BudgetBurst) }

// SetShare changes the share for the following requests.
func (b *Budget) SetShare(share float64) { b.share = share }

// Take takes one retry from the budget, and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
