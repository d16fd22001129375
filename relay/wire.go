package relay

import (
	"context"
	"net/http"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

type (
	// Options are what a relay is told at its start.
	Options struct {
		// Name and Domain are the node's.
		Name   string
		Domain string
		// Regions holds the region of each failure domain; a domain that it does not name belongs to the region "".
		Regions map[string]string
		// Capacity is what the host can carry relative to others.
		Capacity float64
		// MaxRoutingAge is the greatest age of the routing that API keys are trusted by; zero means
		// that keys are trusted however old the routing is.
		MaxRoutingAge time.Duration
		// Budget bounds the repeated sends of all nodes together to each pool.
		RetryLimits kernel.FleetRetryLimits
		// Cold bounds what all nodes together send to cold endpoints.
		ColdLimits kernel.ColdLimits
		// Policy says which mechanisms decide.
		Policy kernel.Policy
	}

	// Wire is how the relay reaches endpoints.
	Dependencies struct {
		// Forward sends a request to an endpoint, once.
		Forward func(ctx context.Context, send Send) (*model.ForwardReply, error)
		// RunPieces makes one call for pieces. The results are in the order of the pieces.
		RunPieces func(ctx context.Context, e model.Endpoint, pieces []model.Piece) (PieceReply, error)
		// Free gives up results that an endpoint holds.
		FreeResults func(ctx context.Context, e model.Endpoint, handles []string) error
		// Room returns how many bytes of results an endpoint has room for now.
		FreeRoom func(ctx context.Context, e model.Endpoint) (int64, error)
		// Connect opens a connection to an address and keeps it for a later call.
		Connect func(ctx context.Context, address string) error
		// StoreQuarantine writes into the store which requests are held back, and which no longer.
		StoreQuarantine func(ctx context.Context, change kernel.QuarantineChange) error
		// PublishRateCap writes into the store what an endpoint says of the requests that it takes, for all nodes to learn.
		PublishRateCap func(ctx context.Context, incarnation string, stated model.RateCap) error
		// Retire closes the idle connections to an address.
		CloseIdle func(address string)
	}

	// Send is one send of a request.
	Send struct {
		Endpoint model.Endpoint
		Forward  model.Forward
		Customer string
		// Until is when the endpoint should stop.
		Until time.Time
		// Inputs are the results that the request needs.
		Inputs []string
		// After is the ID of the last event that the caller has of a resumed stream.
		LastEventID string
		// Fresh asks for a connection that has not been idle for long: the request must not be
		// repeated.
		FreshConnection bool
		// BeforeSend decides, when a connection is open, whether the request is still to be sent.
		BeforeSend func() error
	}

	// PieceReply is an endpoint's answer to a call for pieces.
	PieceReply struct {
		// NotRun is the endpoint's word that it did nothing; there are no results then.
		NotRun bool
		// Misdirected is true where another endpoint has the address now; it implies NotRun.
		Misdirected bool
		// RateCap is what the endpoint says of the requests that it takes.
		RateCap model.RateCap
		Results []model.PieceResult
	}

	// Responder passes an answer back to a caller.
	Responder struct {
		// Begin sends status and header; it is called once.
		Begin func(status int, header http.Header)
		// Write sends a part of the body at once.
		Write func(p []byte) error
	}

	// Outcome is how a request ended: with a refusal before Begin, else with an answer that is
	// whole or was broken off.
	Outcome struct {
		Refusal  *model.Refusal
		Status   int
		Complete bool
		// Endpoint and Attempts say who answered and how many endpoints were asked.
		Endpoint string
		Attempts int
		// First is how long the request waited for the first event of its stream; zero where none came.
		FirstEventTime time.Duration
		// Stages says what became of the stages that were begun.
		Stages []StageTiming
		// Estimates is what was expected of the stages' pools where the request was refused for it.
		Estimates []StageEstimate
		// Late tells that the answer began after its objective.
		Late bool
	}

	// StageEstimate is what was expected of a pool before a stage: how long its pieces wait, and which share
	// of its room is taken.
	StageEstimate struct {
		Pool      string
		Wait      time.Duration
		RoomTaken float64
	}

	// StageTiming says how long a stage took, how much of that its pieces waited for a call, and which
	// wait the batcher estimated when they came.
	StageTiming struct {
		Stage    int
		Pool     string
		Batcher  string
		Elapsed  time.Duration
		Waited   time.Duration
		Estimate time.Duration
		Fault    model.PieceFault
	}
)
