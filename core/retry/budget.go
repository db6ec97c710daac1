package retry

// Budget holds retries to a share of the traffic. Without it, an overload of
// upstreams multiplies itself: each refusal is followed by another attempt,
// and one would see attempts rise by the factor Config.Attempts while answers
// fall. It counts requests, needs no clock, and belongs to one shard: its
// owner guards it.
type Budget struct {
	share  float64
	tokens float64
}

// BudgetBurst is how many retries may run ahead of the traffic's share, so that a
// quiet host can still retry.
const BudgetBurst = 10.0

// NewBudget allows retries up to share (0 to 1) of the requests counted.
func NewBudget(share float64) *Budget { return &Budget{share: share, tokens: BudgetBurst} }

// CountRequest counts a first attempt, which earns its share of a retry.
func (b *Budget) CountRequest() { b.tokens = min(b.tokens+b.share, BudgetBurst) }

// SetShare changes the share from the next request on.
func (b *Budget) SetShare(share float64) { b.share = share }

// Take asks for one retry.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
