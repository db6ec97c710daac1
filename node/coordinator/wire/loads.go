package wire

import (
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// LoadOf returns the load that a message states.
func LoadOf(l *coordpb.Load) fleet.Load {
	return fleet.Load{Requests: int(l.Requests), PendingPromptTokens: int(l.Waiting), Tokens: int(l.Tokens)}
}

// Percent returns a multiple as messages state it; 0 stays 0, for nothing known.
func Percent(multiple float64) uint32 { return uint32(multiple*100 + 0.5) }

// Multiple is the inverse of Percent.
func Multiple(percent uint32) float64 { return float64(percent) / 100 }
