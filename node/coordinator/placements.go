package coordinator

import "peridotpier.example/node/coordinator/moves"

// Placements returns where the models with most demand are and why, as far as this host
// knows.
func (c *Coordinator) Placements() []moves.Placement { return c.planner.Placements(c.now()) }
