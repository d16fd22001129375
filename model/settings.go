package model

import (
	"slices"
	"time"
)

// StageKind names the plug-in that carries out a stage.
type StageKind string

// KeyMode is how a second run of a request with the same idempotency key is prevented.
type KeyMode string

// The kinds of stages that have a built-in plug-in.
const (
	Encode   StageKind = "Encode"
	Retrieve StageKind = "Retrieve"
	Rerank   StageKind = "Rerank"
	Generate StageKind = "Generate"
	Call     StageKind = "Call"
)

// The key modes.
const (
	// Claims is for UUIDv7 keys, which contain their time of issue. The claims row of the table (see kernel.Claims)
	// assigns each key to a node, its owner, which decides from memory.
	Claims KeyMode = "Claims"
	// Durable is for all other keys: a conditional insert into the table decides.
	Durable KeyMode = "Durable"
)

type (
	// TeamSettings is the settings document of one team.
	TeamSettings struct {
		Team      string     `yaml:"Team"      validate:"required"`
		Customers []Customer `yaml:"Customers" validate:"required,dive"`
		Pipelines []Pipeline `yaml:"Pipelines" validate:"required,dive"`
	}

	// Customer is one customer of a team.
	Customer struct {
		Name  string `yaml:"Name"  validate:"required"`
		Token string `yaml:"Token" validate:"required,min=8"`
		// Weight is the customer's share relative to those of the others; 1 if not given.
		Weight int `yaml:"Weight" validate:"gte=0,lte=1000"`
		// RequestsPerSecond limits the customer across the whole fleet; 0 means no limit.
		RequestsPerSecond float64 `yaml:"RequestsPerSecond" validate:"gte=0"`
	}

	// Pipeline is a chain of stages with a common deadline.
	Pipeline struct {
		Name string `yaml:"Name" validate:"required"`
		// Deadline is the maximum deadline that a caller may request.
		Deadline time.Duration `yaml:"Deadline" validate:"required,gt=0"`
		// Keys restricts the keys that a pipeline with a non-idempotent stage accepts: Claims
		// to UUIDv7, Durable to any other form. Both are accepted if it is not given.
		Keys   KeyMode `yaml:"Keys"   validate:"omitempty,oneof=Claims Durable"`
		Stages []Stage `yaml:"Stages" validate:"required,min=1,max=8,dive"`
	}

	// Stage is one step of a pipeline.
	Stage struct {
		Name string    `yaml:"Name" validate:"required"`
		Kind StageKind `yaml:"Kind" validate:"required"`
		Pool string    `yaml:"Pool" validate:"required"`
		// Model and Adapter must be loaded for a Generate stage.
		Model   string `yaml:"Model"`
		Adapter string `yaml:"Adapter"`
		// MaxTokens limits the output of a Generate stage; 256 if not given.
		MaxTokens int `yaml:"MaxTokens" validate:"gte=0,lte=8192"`
		// Operation names the operation that a Call stage requests from the service.
		Operation string `yaml:"Operation"`
		// NonIdempotent marks a Call stage that must not run twice.
		NonIdempotent bool `yaml:"NonIdempotent"`
	}

	// FleetSettings is the settings document that applies to the whole fleet.
	FleetSettings struct {
		// Horizon is how far ahead of their issue keys are assigned to nodes: the longest outage of the table during
		// which requests with UUIDv7 keys are still accepted.
		Horizon time.Duration `yaml:"Horizon" validate:"gte=1s,lte=1h"`
		// FirmHorizon is how far ahead the assignment of keys is final: how long after its crash a node still owns a
		// part of the newly issued keys, whose requests are refused.
		FirmHorizon time.Duration `yaml:"FirmHorizon" validate:"gte=1s,lte=1h"`
		// Retention is how long a key and its answer are kept.
		Retention time.Duration `yaml:"Retention" validate:"gte=10s,lte=24h"`
		// WeightLoadEvery is the minimum time between two orders that the holder of a pool's lease sends to the pool's
		// engines to load adapters. It limits the load on the weight store, from which engines load adapters.
		WeightLoadEvery time.Duration `yaml:"WeightLoadEvery" validate:"gte=10ms,lte=10m"`
		// Evacuated lists the failure domains whose endpoints get no work.
		Evacuated []string `yaml:"Evacuated" validate:"unique,dive,required"`
		// ColdRates holds, by pool, how many calls a second a cold endpoint can handle from all nodes together. Cold
		// endpoints of pools without an entry are not limited.
		ColdRates map[string]float64 `yaml:"ColdRates" validate:"dive,keys,required,endkeys,gt=0"`
	}

	// Document is a settings document as it is stored in the table.
	Document struct {
		// Path is "fleet" or "teams/NAME".
		Path string
		// Revision is the head revision of the fleet that the last change of this document created.
		Revision uint64
		// Operation is the unique identifier of the change.
		Operation string
		Author    string
		At        time.Time
		YAML      string
	}

	// Snapshot is all documents at one head revision.
	Snapshot struct {
		Revision  uint64
		Documents []Document
	}
)

// Pools returns the pools of the pipeline's stages.
func (p Pipeline) Pools() []string {
	var out []string
	for _, s := range p.Stages {
		if !slices.Contains(out, s.Pool) {
			out = append(out, s.Pool)
		}
	}
	return out
}

// NonIdempotent reports whether any stage of the pipeline must not run twice.
func (p Pipeline) NonIdempotent() bool {
	for _, s := range p.Stages {
		if s.NonIdempotent {
			return true
		}
	}
	return false
}
