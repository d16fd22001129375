package relay

import (
	"context"
	"net/http"
	"time"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/standby"
)

type (
	// Options configures a relay.
	Options struct {
		// Name and Domain are the name and the failure domain of the node.
		Name   string
		Domain string
		// Regions holds the region of each failure domain. Domains that are not listed are in the region "".
		Regions map[string]string
		// Capacity is the capacity of the node's host relative to others.
		Capacity float64
		// MaxRoutingAge is the maximum age of the routing up to which API keys are trusted; 0 means that they are
		// trusted regardless of its age.
		MaxRoutingAge time.Duration
		// MaxRouteAge is the maximum age of the routing up to which requests are decided on by it, unless the store answers
		// nobody; 0 means any age.
		MaxRouteAge time.Duration
		// MaxDrainDelay is the time after a report that an endpoint leaves in which it may get work; 0 means that it is
		// not bounded.
		MaxDrainDelay time.Duration
		// ListReadInterval is how often the list of endpoints is read from the store by the node that reads it.
		ListReadInterval time.Duration
		// RetryLimits bounds the retries of all nodes together for each pool.
		RetryLimits kernel.FleetRetryLimits
		// ColdLimits bounds what all nodes together send to cold endpoints.
		ColdLimits kernel.ColdLimits
		// DividesCapacity is true if streams are placed, and slots divided among customers, in all pools, and not only in those
		// whose endpoints state a contention.
		DividesCapacity bool
		// Policy selects the scheduling mechanisms in use.
		Policy kernel.Policy
	}

	// Dependencies are the functions through which a relay reaches endpoints and the store.
	Dependencies struct {
		// Forward sends a request to an endpoint, once.
		Forward func(ctx context.Context, send Send) (*model.ForwardReply, error)
		// RunPieces makes one call for pieces. The results are in the order of the pieces.
		RunPieces func(ctx context.Context, call Call, pieces []model.Piece) (PieceReply, error)
		// FreeResults frees results that an endpoint holds. It returns what the endpoint states of itself, also with an
		// error.
		FreeResults func(ctx context.Context, call Call, handles []string) (model.Statement, error)
		// FreeRoom returns how many bytes of results an endpoint has room for now, and what it states of itself.
		FreeRoom func(ctx context.Context, call Call) (int64, model.Statement, error)
		// Connect opens a connection to an address and keeps it for a later call.
		Connect func(ctx context.Context, address string) error
		// StoreQuarantine writes a change of the held requests to the store.
		StoreQuarantine func(ctx context.Context, change kernel.QuarantineChange) error
		// PublishRateCap writes the rate cap that an endpoint states, or that it states none, to the store, from which
		// all nodes learn it.
		PublishRateCap func(ctx context.Context, incarnation string, stated model.RateCap) error
		// PublishRefusalCap does the same with the refusal cap.
		PublishRefusalCap func(ctx context.Context, incarnation string, stated model.RateCap) error
		// ReadVersions, WriteVersion, WriteBindings and ReadBindings reach the rows about what streams are bound to (see
		// binding.Dependencies).
		ReadVersions  func(ctx context.Context) ([]kernel.VersionChange, error)
		WriteVersion  func(ctx context.Context, w kernel.VersionWrite) error
		WriteBindings func(ctx context.Context, key string, records []peer.StreamBinding, remove []string) error
		ReadBindings  func(ctx context.Context, prefix string) (map[string][]peer.StreamBinding, error)
		// HoldRelayed counts the body of a request that another node passes on, in bytes. It returns false if the node takes
		// on no more; nil if such requests are not counted.
		HoldRelayed func(bodyBytes int64) (HeldRequest, bool)
		// CloseIdle closes the idle connections to an address.
		CloseIdle func(address string)
	}

	// Send is one send of a request.
	Send struct {
		Endpoint model.Endpoint
		Forward  model.Forward
		Customer string
		// Until is the deadline up to which the endpoint should work on the request.
		Until time.Time
		// Inputs are the handles of the results that the request needs.
		Inputs []string
		// LastEventID is the ID of the last event that the caller has received of a resumed stream; empty for other
		// sends.
		LastEventID string
		// FreshConnection demands a connection that has not been idle for long, because the request must not be
		// repeated.
		FreshConnection bool
		// BeforeSend is called when a connection is open. If it returns an error, the request is not sent.
		BeforeSend func() error
	}

	// Call is one call to an endpoint that is not a caller's request.
	Call struct {
		Endpoint model.Endpoint
		// BeforeSend is called when a connection is open. If it returns an error, the call is not made.
		BeforeSend func() error
	}

	// PieceReply is an endpoint's answer to a call for pieces.
	PieceReply struct {
		// NotRun is true if the endpoint states that it did not run the call; there are no results then.
		NotRun bool
		// Misdirected is true if the address now belongs to another endpoint; it implies NotRun.
		Misdirected bool
		// Statement is what the endpoint states of itself; empty if the reply is Misdirected.
		Statement model.Statement
		Results   []model.PieceResult
	}

	// Responder sends an answer to a caller.
	Responder struct {
		// Begin sends the status and the header of an answer that is delimited in the given way, or in the one that it returns. It is
		// called at most once.
		Begin func(status int, header http.Header, framing ending.Framing) ending.Framing
		// Write sends a part of the body without buffering it.
		Write func(p []byte) error
		// Held counts what the node holds of the answer.
		Held HeldBytes
		// Bind is called before Begin with what a resumable stream is bound to; nil if nobody needs it.
		Bind func(b kernel.Binding)
	}

	// HeldBytes counts the bytes of an answer that the node holds until its caller has taken them. The functions are nil if
	// they are not counted.
	HeldBytes struct {
		// Expect announces that the answer will be reserved. It fails if the answer might find no room.
		Expect func() error
		// Answered records that an answer of n bytes was reserved and read.
		Answered func(n int64)
		// MeanAnswer returns the mean size of answers in bytes.
		MeanAnswer func() int64
		// Reserve counts n bytes of a buffered answer until the request ends. It fails if the node holds as many as it may.
		Reserve func(ctx context.Context, n int64) error
		// ReserveRequest reserves n bytes for what the node makes of the request before it is sent anywhere, and FreeRequest frees them.
		ReserveRequest func(ctx context.Context, n int64) error
		FreeRequest    func(n int64)
		// Add counts n bytes that are being passed on, or that many fewer if n is negative.
		Add func(n int64)
	}

	// HeldRequest counts the bytes of a request that another node has passed on. End frees them.
	HeldRequest struct {
		HeldBytes
		End func()
	}

	// Outcome is how a request ended: with a refusal before Begin, or with an answer that is complete or was broken
	// off.
	Outcome struct {
		// Refusal is nil once the answer has begun.
		Refusal *model.Refusal
		Status  int
		// Complete is true if all that came of the answer was passed on and it is not known to be broken off. End tells whether its
		// sender has stated that this is all of it.
		Complete bool
		End      ending.End
		// Framing is how the last endpoint's answer was delimited, and Evidence what its end was judged by; empty without an
		// answer.
		Framing  ending.Framing
		Evidence ending.Evidence
		// Cause is the refusal that broke the answer off; nil if none did.
		Cause *model.Refusal
		// Barred is why a stream that had begun did not go on at another engine; empty if it did or ended.
		Barred standby.Bar
		// Endpoint is the name of the endpoint that answered; Attempts is how many endpoints the request was sent to.
		Endpoint string
		Attempts int
		// Through is the node that sent the request in place of this one; empty if this one did.
		Through string
		// Placer is the node that chose the engine of the last attempt at a stream; empty if the sending node did.
		Placer string
		// For is the node that got the request from its caller; empty if this one did.
		For string
		// FirstEventTime is how long after its arrival the request got the first event of its stream; 0 if there was
		// none.
		FirstEventTime time.Duration
		// Stages has an entry for each stage that ended.
		Stages []StageTiming
		// Estimates has the estimates for the pools of the stages; it is set only if the request was refused because
		// of them.
		Estimates []StageEstimate
		// Resumption is what was found out of the stream that the request resumes; nil for any other request.
		Resumption *kernel.Finding
		// Share is what the admitter of the pool found of the customer; nil unless it refused the request.
		Share *ShareFinding
		// Late is true if the wait for the first event, since the first attempt of the caller, exceeded the objective of
		// the route.
		Late bool
	}

	// StageEstimate is the estimate for the pool of a stage before the stage is started.
	StageEstimate struct {
		Pool string
		// Wait is how long the pieces of the stage are expected to wait.
		Wait time.Duration
		// RoomTaken is the share of the workers' memory for results that is taken, from 0 to 1.
		RoomTaken float64
		// Shares is how the share of the request's customer decided.
		Shares kernel.ShareStanding
	}

	// StageTiming is how long a stage took and how it ended. Waited is how long its pieces waited for a call, Estimate
	// the wait that the batcher estimated when they arrived.
	StageTiming struct {
		Stage    int
		Pool     string
		Batcher  string
		Elapsed  time.Duration
		Waited   time.Duration
		Estimate time.Duration
		Fault    model.PieceFault
		// Shares is how the share of the request's customer decided when the pieces arrived.
		Shares kernel.ShareStanding
	}
)
