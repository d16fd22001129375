package peer

import (
	"time"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

type (
	// Relay asks another node whether it would send a request to the endpoints of a pool, which this node does not reach.
	// It opens a stream, which continues with RelayReply, and, if that accepts, RelayRequest with the body as RelayData. The
	// other node answers with RelaySent before each attempt, RelayHead, the answer's body as RelayData, and RelayEnd. Until
	// RelayRequest is sent, nothing has run.
	Relay struct {
		Pool string
		// Version is that of the routing by which the sender has admitted the request.
		Version uint64
		// BodyBytes is the size of the body of the request, which follows RelayRequest in RelayData.
		BodyBytes int64
	}

	// RelayReply is the reply to Relay. Declined is the reason for which the node does not take the request; empty if it
	// does. Load is the number of requests that it serves, relative to the capacity of its host.
	RelayReply struct {
		Declined model.Reason
		Load     float64
	}

	// RelayRequest is the request. Times are relative because the clocks of hosts differ.
	RelayRequest struct {
		// Node is the name of the sender.
		Node     string
		ID       string
		Method   string
		URI      string
		Path     string
		Host     string
		Header   map[string][]string
		Digest   model.Digest
		Key      string
		Prompt   model.Prompt
		Pieces   []int
		PieceKey string
		// ReceivedAgo is the time since the sender received the request, and Left the time for which the caller waits on; 0
		// if it has not said. Waited is model.Forward.Waited.
		ReceivedAgo time.Duration
		Left        time.Duration
		Waited      time.Duration
		// StopsIn is the time until the sender stops; 0 if it is not leaving.
		StopsIn time.Duration
		// Route and Customer are those by which the sender has admitted the request.
		Route    string
		Customer string
		// Attempts is the number of endpoints that the request was sent to. Excluded are the incarnations that must not
		// get it again. MayHaveRun is true if one of them may have run it.
		Attempts   int
		Excluded   []string
		MayHaveRun bool
		// Counted is true if the sender has counted the request towards its share of the retry budget.
		Counted bool
		// Trial is true if the request is held back and was permitted to run once.
		Trial bool
		// LastEventID is the ID of the last event that the caller has of the stream, which is to be resumed; empty if it has
		// none.
		LastEventID string
		// StreamKey identifies the stream, and Binding is what it is bound to; nil before its first event.
		StreamKey kernel.StreamKey
		Binding   *kernel.Binding
		// TakesUnstated is true if the sender knows RelayEnd.Unstated.
		TakesUnstated bool
	}

	// RelaySent tells that the request is about to be sent to an endpoint. Attempts is the number of endpoints, this one
	// included.
	RelaySent struct {
		Attempts int
	}

	// RelayHead is the head of an endpoint's answer.
	RelayHead struct {
		Status   int
		Header   map[string][]string
		Endpoint string
		// Framing is how the answer is delimited. It is empty from nodes of builds that do not tell: what they call complete need not
		// have a stated end.
		Framing ending.Framing
		// Binding is what the stream is bound to. It is nil for other requests, and from nodes of builds that do not tell.
		Binding *kernel.Binding
	}

	// RelayData is a part of a body.
	RelayData struct {
		Data []byte
	}

	// RelayEnd ends the stream: the answer is Complete, may be so but is Unstated, or was broken off, or there is none and the
	// request was refused.
	RelayEnd struct {
		// Complete is true beside Unstated for nodes of older builds, which take any other answer for broken off.
		Complete bool
		// Unstated is true if all that came was passed on, but the endpoint has not stated the end of its answer.
		Unstated bool
		Refusal  *model.Refusal
		Attempts int
	}

	// RelayStage is one stage of a request of the project's own interface, which follows Relay in place of RelayRequest. The
	// other node answers with RelayToken for each token of a stream, and RelayStageEnd.
	RelayStage struct {
		Request  model.Request
		Stage    model.Stage
		Previous model.StageOutput
		// Left is the time until the request's deadline.
		Left time.Duration
		// Trial is true if the request is held back and was permitted to run once.
		Trial bool
	}

	// RelayToken is a token of a stream.
	RelayToken struct {
		Token model.Token
	}

	// RelayStageEnd ends the stage: with its output, or with the refusal if that is not nil.
	RelayStageEnd struct {
		Output  model.StageOutput
		Timing  model.StageTiming
		Refusal *model.Refusal
	}
)
