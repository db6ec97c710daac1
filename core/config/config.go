// Package config defines the deployment configuration: teams, models, adapters,
// upstreams, services, classes, limits and presets. It is one versioned JSON
// document that is stored in the table service and is the same on every host.
package config

import "peridotpier.example/core/class"

// Config is a complete deployment configuration.
type Config struct {
	Site        string      `json:"site"`
	DataCentres []string    `json:"data_centres,omitempty"`
	Teams       []Team      `json:"teams,omitempty"`
	Pools       []Pool      `json:"pools,omitempty"`
	Models      []Model     `json:"models,omitempty"`
	Adapters    []Adapter   `json:"adapters,omitempty"`
	Upstreams   []Upstream  `json:"upstreams,omitempty"`
	Services    []Service   `json:"services,omitempty"`
	Classes     []ClassRule `json:"classes,omitempty"`
	Presets     []Preset    `json:"presets,omitempty"`
	WeightStore WeightStore `json:"weight_store"`
	Limits      Limits      `json:"limits"`
}

// Team is a tenant; other teams must not see its work.
type Team struct {
	Name      string     `json:"name"`
	KeyHashes []string   `json:"key_hashes,omitempty"` // SHA-256 of each accepted key, hex; two while a key is rotated
	Models    []string   `json:"models,omitempty"`     // models and adapters it may call; "*" for all
	Services  []string   `json:"services,omitempty"`   // services it may call; "*" for all
	Weight    int        `json:"weight"`               // share under contention, 1 to 1000
	Limits    TeamLimits `json:"limits"`
}

// TeamLimits are limits on a team over all entry hosts together, within the error
// that docs/design states.
type TeamLimits struct {
	RequestsPerSecond float64 `json:"requests_per_second"` // 0: no limit
	Concurrent        int     `json:"concurrent"`          // 0: no limit
}

// PoolKind is the kind of a pool's upstreams.
type PoolKind string

// The kinds of pool.
const (
	KindEngine  PoolKind = "engine"
	KindService PoolKind = "service"
)

// Pool is a group of upstreams that are planned together.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
}

// Model is a base model that the engines of its pool can load.
type Model struct {
	Name               string `json:"name"`
	Pool               string `json:"pool"`
	Version            string `json:"version"`
	MemoryMB           int    `json:"memory_mb"`         // accelerator memory of one replica
	MinReplicas        int    `json:"min_replicas"`      // ready at all times; 0: loaded on demand
	MaxOnDemandSeconds int    `json:"max_on_demand_s"`   // if MinReplicas is 0: within this time the model must become ready
	InitialReplicas    int    `json:"initial_replicas"`  // at the start; the planner decides later
	TokensPerSecond    int    `json:"tokens_per_second"` // of a single stream on an otherwise idle engine
}

// Adapter is a small set of weights that is applied to a base model.
type Adapter struct {
	Name     string `json:"name"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	MemoryMB int    `json:"memory_mb"`
}

// Fencing is how an upstream treats the fencing number of an order.
type Fencing string

// The ways in which engines treat orders with old fencing numbers.
const (
	FencingChecked Fencing = "checked" // refuses an order with an old number
	FencingIgnored Fencing = "ignored" // executes any order
)

// Upstream is one model engine or one instance of a plain service.
type Upstream struct {
	Name         string  `json:"name"`
	Pool         string  `json:"pool"`
	Address      string  `json:"address"` // IP:port
	DataCentre   string  `json:"data_centre"`
	Accelerators int     `json:"accelerators"`
	MemoryMB     int     `json:"memory_mb"` // accelerator memory for weights
	MaxBatch     int     `json:"max_batch"` // concurrent requests
	Fencing      Fencing `json:"fencing"`
}

// Service is a plain service beside the engines.
type Service struct {
	Name   string         `json:"name"`
	Pool   string         `json:"pool"`
	Routes []ServiceRoute `json:"routes,omitempty"` // the first match applies; without a match only GET and HEAD are repeatable
}

// ServiceRoute declares whether calls to a part of a service may be repeated.
type ServiceRoute struct {
	Method     string `json:"method"` // "*" for any
	Prefix     string `json:"prefix"` // of the path below the service
	Repeatable bool   `json:"repeatable"`
}

// ClassRule states the targets and limits of a request class.
type ClassRule struct {
	Class        class.Class `json:"class"`
	FirstTokenMs int         `json:"first_token_ms"` // target for the first byte of the answer
	DeadlineMs   int         `json:"deadline_ms"`    // default deadline for the complete answer
	MaxQueue     int         `json:"queue_max"`      // queued requests of this class on one host
}

// Preset is one mode of operating the site; exactly one is in force.
type Preset struct {
	Name            string  `json:"name"`
	UrgentHeadroom  float64 `json:"urgent_headroom"`  // share of dispatch slots reserved for urgent requests, 0 to 0.9
	MovesPerMinute  float64 `json:"moves_per_minute"` // over all planners
	SpreadThreshold float64 `json:"spread_threshold"` // utilisation above which another replica is worth loading
	BulkShare       float64 `json:"bulk_share"`       // largest share of the slots that bulk requests may use, 0 to 1
	AcceptBulk      bool    `json:"accept_bulk"`
}

// WeightStore states the limits of the platform's weight store.
type WeightStore struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	Concurrent     int     `json:"concurrent"` // concurrent loads at full speed
	MBPerSecond    int     `json:"mb_per_second"`
}

// MaxAnswerBytes bounds Limits.AnswerBytes. A host holds such an answer in memory
// while it forwards it.
const MaxAnswerBytes = 8 << 20

// Limits bound what one request or host may use.
type Limits struct {
	BodyBytes        int64   `json:"body_bytes"`         // largest request body
	AnswerBytes      int64   `json:"answer_bytes"`       // largest stored answer of a request that may not be repeated
	ClaimTTLSeconds  int     `json:"claim_ttl_s"`        // how long an idempotency key is remembered
	RetryBudgetShare float64 `json:"retry_budget_share"` // retries as a share of requests, 0 to 1
}
