package peer

import (
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// Kind says what a frame's body is.
type Kind uint8

// The kinds of calls.
const (
	KindHello Kind = iota + 1
	KindPing
	KindHeartbeat
	KindForward
	KindSettings
	KindHandover
	KindExplain
	KindDemand
	KindGrant
	KindSeal
	KindBatch
	KindBatchCancel
	KindRelease
	KindProbe
	KindFeed
	KindCallerWait
	KindTakeOver
	KindCrash
	KindTrial
	KindClear
	KindStoreQuarantine
	KindCapPermit
	KindRatePermit
)

type (
	// Hello opens a connection.
	Hello struct {
		Token string
		// Node names the caller, for logs.
		Node string
		// Unpacks tells that the caller understands compressed replies.
		Unpacks bool
	}

	// HelloReply answers Hello; a wrong token gets Refused.
	HelloReply struct {
		Refused bool
		// Member is who answers, so that a caller notices a restarted process.
		Member kernel.Member
	}

	// Heartbeat goes to a few neighbours; the reply is one too.
	Heartbeat struct {
		News []kernel.GossipUpdate
		// Revision is the head revision of the settings in force.
		Revision uint64
		// ClaimsNumber is the number of the claims row that the node has read.
		ClaimsNumber uint64
		// Notices is the version of the row of notices that the node has read.
		Notices uint64
	}

	// Forward asks the owner of a key to run a request.
	Forward struct {
		Request model.Request
		// Left is the time until the deadline: clocks differ between hosts.
		Left time.Duration
	}

	// ForwardReply carries either an answer or a refusal.
	ForwardReply struct {
		Answer  model.Answer
		Refusal *model.Refusal
	}

	// SettingsPull asks for the documents changed after a revision.
	SettingsPull struct {
		After uint64
	}

	// SettingsReply has the head revision and the documents asked for.
	SettingsReply struct {
		Snapshot model.Snapshot
	}

	// Handover gives the keys of a member that leaves to another one.
	Handover struct {
		From    kernel.Member
		Cutoff  time.Time
		Entries map[string]kernel.LedgerEntry
		// Last marks the last part.
		Last bool
	}

	// HandoverReply acknowledges that the entries are held.
	HandoverReply struct {
		Held int
	}

	// Explain asks what happened to a request.
	Explain struct {
		Request string
	}

	// ExplainReply has the record; Found is false where the node has none.
	ExplainReply struct {
		Found  bool
		Record model.Record
	}

	// Demand tells the holder of a pool's lease what is wanted of its engines.
	Demand struct {
		Pool   string
		Wanted []kernel.Demand
	}

	// Grant asks a member of the newest era to grant that keys keep their owners.
	Grant struct {
		Era   uint64
		Until time.Time
	}

	// GrantReply has how far the member grants, if it does.
	GrantReply struct {
		Granted bool
		Until   time.Time
	}

	// Seal asks a member of the newest era to grant no more while an era is written against
	// the row of that number.
	Seal struct {
		Number uint64
	}

	// SealReply has above what key time that era must start.
	SealReply struct {
		Sealed bool
		From   time.Time
	}

	// Batch asks the batcher of a pool for the pieces of one stage of one request. Times are
	// given as what is left: clocks differ between hosts.
	Batch struct {
		Pool string
		// OnlyAsk asks how long the pieces would wait, and for nothing else.
		OnlyAsk bool
		// Group is unique among the sender's groups.
		Group        string
		Request      string
		Digest       model.Digest
		Stage        int
		Numbers      []int
		Key          string
		Inputs       []kernel.ResultRef
		FreeInputs   bool
		ResultBytes  int64
		Domain       string
		LocalityWait time.Duration
		Rank         int
		// AskedAgo is how long ago the sender first asked for the pieces, of any node.
		AskedAgo time.Duration
		DueIn    time.Duration
		UntilIn  time.Duration
		// PassedOver names nodes that did not answer the sender or batch no more: it can't be sent on
		// to them.
		PassedOver []string
	}

	// BatchReply ends a group.
	BatchReply struct {
		Outcome kernel.GroupOutcome
		// Refused is true where the group was not taken; RetryAfter says when to come back.
		Refused    bool
		RetryAfter time.Duration
		// Wait is how long pieces that come now wait.
		Wait time.Duration
		// RoomTaken is the share of the pool's room that is taken.
		RoomTaken float64
		// Leaving is true where the node batches no more: the sender asks another one.
		Leaving bool
		// Moved is true where another node batches for the pool now. MovedTo names it where it is
		// known; the sender asks it instead.
		Moved   bool
		MovedTo string
	}

	// TakeOver asks a node that may batch for a pool to leave that to the sender.
	TakeOver struct {
		Pool string
		Node string
		// Capacity is what the sender's host can carry relative to others; Batches tells that it
		// batches already.
		Capacity float64
		Batches  bool
		// Leaving tells that the sender is leaving itself: it batches only where all others leave.
		Leaving bool
	}

	// TakeOverReply is from a node that batched until now, or names the node that goes on to batch.
	TakeOverReply struct {
		Batched bool
		// MovedTo names the node that batches as far as is known; Stays is true where that is the
		// answering node itself, which goes on.
		MovedTo string
		Stays   bool
	}

	// BatchCancel withdraws a group that nobody waits for any more.
	BatchCancel struct {
		Pool  string
		Group string
	}

	// Release frees results that are no longer needed.
	Release struct {
		Pool string
		Made []kernel.ResultRef
		// SentOn is true where a node passed it on to the one that batches.
		SentOn bool
	}

	// ProbeReply tells whether a node batches pieces.
	ProbeReply struct {
		Leaving bool
	}

	// Return asks how long the caller of a request has waited since its first attempt, or, with
	// Refused, tells that an attempt was refused after the caller had waited for a time.
	CallerWait struct {
		Identity string
		Refused  bool
		Waited   time.Duration
	}

	// CallerWaitReply answers Return; Waited is zero for a request that is not known.
	CallerWaitReply struct {
		Waited time.Duration
	}

	// Feed asks for what changed in tables of the store after a version of each.
	Feed struct {
		After map[string]uint64
		// Unpacks tells that the asking node understands packed values.
		Unpacks bool
		// Node is the asking node, ProvenAgo the greatest age of its proofs; zero where it knows too little.
		Node      string
		ProvenAgo time.Duration
		// Hold is how long a node that the store does not answer may wait for news before it answers.
		Hold time.Duration
	}

	// FeedReply has an entry for each table that is known.
	FeedReply struct {
		Tables map[string]kernel.Delta
		// Packed holds large values by table and key, compressed (DEFLATE); their rows in Tables have none.
		Packed map[string]map[string][]byte
		// Lost is true where the store does not answer the node: what it knows is another node's word, or
		// grows old.
		Lost bool
	}

	// Crash tells a pool's coordinator that the process of an endpoint ended while it worked on requests.
	Crash struct {
		Pool        string
		Incarnation string
		// EndedAgo is how long ago that was: clocks differ between hosts.
		EndedAgo time.Duration
		Digests  []model.Digest
		// CoordinatorLost tells that the pool's coordinator does not answer the sender: the one that is told now is to decide.
		CoordinatorLost bool
	}

	// Trial asks a pool's coordinator whether a request that is held back may be sent once, or, with Unused, tells that
	// it was not sent after all.
	Trial struct {
		Digest model.Digest
		Unused bool
	}

	// TrialReply answers Trial.
	TrialReply struct {
		Permitted bool
		// RetryAfter is when the caller may come back where it is not.
		RetryAfter time.Duration
	}

	// Clear tells a pool's coordinator that a request was answered whole: it does not end each endpoint that runs it.
	Clear struct {
		Digest model.Digest
	}

	// Hold has another node write into the store which requests are held back, and which no longer: the sender
	// can't reach it.
	StoreQuarantine struct {
		Change kernel.QuarantineChange
	}

	// Empty is the body of calls that say nothing more.
	Empty struct{}
)

type (
	// CapPermit asks a node that shares an endpoint's rate cap to let the caller send one request in its place.
	CapPermit struct {
		Pool        string
		Incarnation string
	}

	// CapPermitReply answers CapPermit. Where the permit is not granted, Wait is when the caller's turn comes.
	CapPermitReply struct {
		Granted bool
		Wait    time.Duration
	}

	// RatePermit asks a node that holds a part of a customer's rate to count one request against it.
	RatePermit struct {
		Team     string
		Customer string
	}

	// RatePermitReply answers RatePermit. Where the request is not within the rate, Wait is when to come back.
	RatePermitReply struct {
		Granted bool
		Wait    time.Duration
	}
)
