// Package query reads what is in force.
package query

import "peridotpier.example/core/config"

// State is the configuration and the preset in force, together. It is immutable.
type State struct {
	Version uint64
	Preset  *config.Preset
	Index   *config.Index
}
