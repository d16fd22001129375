package peer

import (
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// Kind identifies the message in a frame's body. A reply has the kind of its call.
type Kind uint8

// The kinds of calls. Their values are sent to other nodes.
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
	KindRelay
	KindRelayRequest
	KindRelaySent
	KindRelayHead
	KindRelayData
	KindRelayEnd
	KindRelayStage
	KindRelayToken
	KindRelayStageEnd
	KindBindStreams
	KindFindStream
	KindSpreadQuarantine
	KindAskParts
	KindPlace
	KindPlaceReports
	KindAdmit
	KindAdmitEnd
)

type (
	// Hello is the first message on a connection.
	Hello struct {
		Token string
		// Node is the name of the caller, for logs.
		Node string
		// Unpacks is true if the caller can decompress replies.
		Unpacks bool
	}

	// HelloReply is the reply to Hello. Refused is true if the token is wrong.
	HelloReply struct {
		Refused bool
		// Member identifies the server and its process, so that the caller notices a restart.
		Member kernel.Member
	}

	// Heartbeat is sent to a few neighbours at regular intervals. Its reply is also a Heartbeat.
	Heartbeat struct {
		News []kernel.GossipUpdate
		// Revision is the head revision of the settings in force.
		Revision uint64
		// ClaimsNumber is the number of the newest claims row that the node has read.
		ClaimsNumber uint64
		// Notices is the version of the notices row that the node has read.
		Notices uint64
	}

	// Forward asks the owner of a request's key to run the request.
	Forward struct {
		Request model.Request
		// Left is the time until the request's deadline. It is relative because the clocks of hosts differ.
		Left time.Duration
	}

	// ForwardReply is the reply to Forward: the answer, or the refusal if that is not nil.
	ForwardReply struct {
		Answer  model.Answer
		Refusal *model.Refusal
	}

	// SettingsPull requests the documents that changed after a revision.
	SettingsPull struct {
		After uint64
	}

	// SettingsReply is the reply to SettingsPull: the head revision and the requested documents.
	SettingsReply struct {
		Snapshot model.Snapshot
	}

	// Handover transfers keys of a leaving member to the receiver. The entries may be split over several messages.
	Handover struct {
		From kernel.Member
		// Cutoff is the earliest time of issue of the keys that the leaving member accepts.
		Cutoff  time.Time
		Entries map[string]kernel.LedgerEntry
		// Last is true in the last message.
		Last bool
	}

	// HandoverReply acknowledges that the receiver has stored the entries. Held is the number of these entries.
	HandoverReply struct {
		Held int
	}

	// Explain requests the record of a request.
	Explain struct {
		Request string
	}

	// ExplainReply is the reply to Explain. Found is false if the node has no record of the request.
	ExplainReply struct {
		Found  bool
		Record model.Record
	}

	// Demand reports to the holder of a pool's lease which adapters its requests need.
	Demand struct {
		Pool   string
		Wanted []kernel.Demand
	}

	// Grant asks a member of the newest era to grant that keys issued up to Until keep their owners (see kernel.Grants).
	Grant struct {
		Era   uint64
		Until time.Time
	}

	// GrantReply is the reply to Grant. If Granted is true, Until is the end of the key time that the member has granted.
	GrantReply struct {
		Granted bool
		Until   time.Time
	}

	// Seal asks a member of the newest era to stop its grants until it knows a claims row newer than Number, because
	// the sender writes a new era against that row.
	Seal struct {
		Number uint64
	}

	// SealReply is the reply to Seal. If Sealed is true, From is the earliest key time at which the new era may start.
	SealReply struct {
		Sealed bool
		From   time.Time
	}

	// Batch asks the batcher of a pool for the pieces of one stage of one request. The fields correspond to those of
	// kernel.PieceGroup. Times are relative because the clocks of hosts differ.
	Batch struct {
		Pool string
		// OnlyAsk requests only the estimated wait and the room taken; no pieces are queued.
		OnlyAsk bool
		// Group identifies the group. It is unique among the groups of the sender.
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
		// Shared is true if the group is ordered by customers' shares. Waited is the time from the caller's first attempt to
		// this one.
		Shared   bool          `msgpack:",omitempty"`
		Customer string        `msgpack:",omitempty"`
		Weight   float64       `msgpack:",omitempty"`
		Waited   time.Duration `msgpack:",omitempty"`
		// AskedAgo is the time since the sender first requested the pieces from any node.
		AskedAgo time.Duration
		// DueIn is the time until the results are needed, UntilIn the time until they become useless.
		DueIn   time.Duration
		UntilIn time.Duration
		// PassedOver names the nodes that did not answer the sender, are leaving, or named another batcher. The
		// group must not be passed on to them.
		PassedOver []string
	}

	// BatchReply is the reply to Batch. It is sent when the group has ended.
	BatchReply struct {
		Outcome kernel.GroupOutcome
		// Refused is true if the group was not accepted. RetryAfter is then the time after which to retry.
		Refused    bool
		RetryAfter time.Duration
		// Wait is the estimated wait of pieces that are requested now.
		Wait time.Duration
		// RoomTaken is the share of the pool's room for results that is taken.
		RoomTaken float64
		// Shares is how the customer's share decides about the group; nil if the queue is not ordered by shares.
		Shares *kernel.ShareStanding `msgpack:",omitempty"`
		// Leaving is true if the node no longer batches because it is leaving. The sender then tries another node.
		Leaving bool
		// Unreached is true if the node does not batch because it reaches no worker. The sender then tries another node.
		Unreached bool
		// Moved is true if another node batches for the pool now. The sender then tries that node, which MovedTo
		// names if it is known.
		Moved   bool
		MovedTo string
	}

	// TakeOver asks a node that may batch for a pool to hand the pool over to the sender.
	TakeOver struct {
		Pool string
		// Node is the name of the sender.
		Node string
		// Capacity is the capacity of the sender's host relative to others. Batches is true if the sender already
		// batches for the pool.
		Capacity float64
		Batches  bool
		// Leaving is true if the sender is leaving. It then batches only if all other nodes are leaving, too.
		Leaving bool
	}

	// TakeOverReply is the reply to TakeOver.
	TakeOverReply struct {
		// Batched is true if the replying node batched until now and has handed the pool over.
		Batched bool
		// MovedTo names the node that batches for the pool, if known. Stays is true if that is the replying node
		// itself, which continues to batch.
		MovedTo string
		Stays   bool
	}

	// BatchCancel cancels a group whose request was abandoned.
	BatchCancel struct {
		Pool  string
		Group string
	}

	// Release asks the batcher of a pool to free results that are no longer needed.
	Release struct {
		Pool string
		Made []kernel.ResultRef
		// SentOn is true if another node has passed the message on to the batcher. It is not passed on again.
		SentOn bool
	}

	// ProbeReply is the reply to a probe, whose message is Empty. A node that is leaving does not batch.
	ProbeReply struct {
		Leaving bool
	}

	// CallerWait asks how long the caller of a request has waited since its first attempt. If Refused is true, it
	// reports instead that an attempt was refused after the caller had waited for Waited.
	CallerWait struct {
		Identity string
		Refused  bool
		Waited   time.Duration
		// RetryAfter is the time after which the caller was told to retry.
		RetryAfter time.Duration `msgpack:",omitempty"`
	}

	// CallerWaitReply is the reply to CallerWait. Waited is zero for an unknown request. EarlyBy is how much earlier than told
	// the caller retries; zero if it does not.
	CallerWaitReply struct {
		Waited  time.Duration
		EarlyBy time.Duration `msgpack:",omitempty"`
	}

	// Feed requests the changes of the store's tables from another node.
	Feed struct {
		// After holds the version of each table that the sender knows.
		After map[string]uint64
		// Unpacks is true if the sender can decompress values.
		Unpacks bool
		// Node is the name of the sender. ProvenAgo is the greatest age of its tables, the time since each was last
		// proven current; zero if it does not know all tables.
		Node      string
		ProvenAgo time.Duration
		// Hold is how long a node with stale tables may wait for newer ones before it replies. If AwaitsNews is true, it
		// also waits while it knows no more than the sender.
		Hold       time.Duration
		AwaitsNews bool `msgpack:",omitempty"`
		// KnowsLost is true if the receiver has already told the sender that the store does not answer it. A node whose
		// store is lost otherwise replies at once.
		KnowsLost bool `msgpack:",omitempty"`
		// Unanswered has the ages of the calls to the store that got no answer, by node, if they are newer than what the
		// sender knows of the routing.
		Unanswered map[string]time.Duration `msgpack:",omitempty"`
		// Reads tells, for tables whose removals nodes date, when they were read from the store as far as the sender knows.
		Reads map[string][]kernel.ReadSpan `msgpack:",omitempty"`
		// Announced holds rows of the table of nodes, by key, that the receiver writes into the store or passes on.
		Announced map[string][]byte `msgpack:",omitempty"`
	}

	// FeedReply is the reply to Feed. Tables holds the changes of each table that the node knows, by name.
	FeedReply struct {
		Tables map[string]kernel.Delta
		// Packed holds large values by table and key, compressed with DEFLATE. Their rows in Tables have no value.
		Packed map[string]map[string][]byte
		// Lost is true if the store does not answer the node. Its tables then come from other nodes or are getting
		// stale.
		Lost bool
		// Held is how long the node waited before it replied. The ages in Tables are as of then.
		Held time.Duration `msgpack:",omitempty"`
		// Unanswered is that of Feed, as of the reply.
		Unanswered map[string]time.Duration `msgpack:",omitempty"`
		// Follows is true if the node waits for news and takes announcements. Nodes of older builds do not.
		Follows bool `msgpack:",omitempty"`
	}

	// Crash reports to a pool's coordinator that the process of an endpoint ended while it worked on requests.
	Crash struct {
		Pool        string
		Incarnation string
		// EndedAgo is the time since the end of the process. It is relative because the clocks of hosts differ.
		EndedAgo time.Duration
		Digests  []model.Digest
		// Version is that of the endpoint.
		Version string `msgpack:",omitempty"`
		// Parts are the distinct parts of the requests' prompts, PartsOf the indices of the parts of each request of Digests.
		Parts   []model.Digest
		PartsOf [][]int
		// Answered is how many requests with each part were answered lately, AnsweredSentAgo the time since the newest of
		// them was sent; negative if there is none.
		Answered        []int
		AnsweredSentAgo []time.Duration
		// CoordinatorLost is true if the pool's coordinator does not answer the sender. The receiver then decides in
		// its place.
		CoordinatorLost bool
	}

	// Trial asks a pool's coordinator to permit one run of a request that is held back. If Unused is true, it reports
	// instead that the request was not sent although the run was permitted.
	Trial struct {
		Digest model.Digest
		// Request is the digest of the request if Digest is that of a part of its prompt.
		Request model.Digest `msgpack:",omitempty"`
		Unused  bool
	}

	// TrialReply is the reply to Trial.
	TrialReply struct {
		Permitted bool
		// RetryAfter is the time after which the caller may retry if the run is not permitted.
		RetryAfter time.Duration
	}

	// Clear reports to a pool's coordinator that a request was answered completely, which shows that it does not crash
	// every endpoint that runs it.
	Clear struct {
		Digest model.Digest
	}

	// StoreQuarantine asks another node to write a change of the held requests to the store, which does not answer the
	// sender.
	StoreQuarantine struct {
		Change kernel.QuarantineChange
	}

	// SpreadQuarantine informs another node of a change of the held requests, before it reads the store. The receiver passes
	// it on to the nodes in PassOn.
	SpreadQuarantine struct {
		Change kernel.QuarantineChange
		PassOn []string
	}

	// AskParts asks another node, and those in PassOn through it, how many requests with certain parts in their prompts were
	// answered lately.
	AskParts struct {
		Parts  []model.Digest
		PassOn []string
	}

	// AskPartsReply is the reply to AskParts, with an entry for each part: the number of requests, and the time since the
	// newest of them was sent; negative if there is none.
	AskPartsReply struct {
		Answered        []int
		AnsweredSentAgo []time.Duration
	}

	// StreamBinding states what a stream is bound to. The fields correspond to those of kernel.BindingRecord. Times are
	// relative because the clocks of hosts differ.
	StreamBinding struct {
		Key     kernel.StreamKey
		Binding kernel.Binding
		Order   int64
		Settled bool
		// RecordedAgo is the time since the engine was chosen, Left the time until the record expires.
		RecordedAgo time.Duration
		Left        time.Duration
	}

	// BindStreams asks a registrar to keep what streams are bound to.
	BindStreams struct {
		Records []StreamBinding
		// Store is true if the receiver is to write them to the store. Otherwise the registrar that Storer names does so.
		Store  bool
		Storer string
		// Overtaking is true if the receiver is to answer once the store has the records, which overtake others of their streams.
		Overtaking bool
		// Settled are streams that have begun as they are recorded.
		Settled []kernel.StreamKey
	}

	// FindStream asks a registrar what a stream is bound to.
	FindStream struct {
		Key  kernel.StreamKey
		Pool string
		// AskStore is true if the registrar may ask the store where it has no record, MayInfer if it may then conclude the binding from
		// the versions of the pool.
		AskStore bool
		MayInfer bool
		// OvertakingOnly is true if the registrar is to read only the records that may have overtaken others.
		OvertakingOnly bool
	}

	// FindStreamReply is the reply to FindStream.
	FindStreamReply struct {
		Finding kernel.Finding
	}

	// Empty is the message of calls and replies without content.
	Empty struct{}
)

type (
	// CapPermit asks a node that shares an endpoint's rate cap for a permit to send one request in its place.
	CapPermit struct {
		Pool        string
		Incarnation string
	}

	// CapPermitReply is the reply to CapPermit. If the permit is denied, Wait is the time until the sender's turn.
	CapPermitReply struct {
		Granted bool
		Wait    time.Duration
	}

	// RatePermit asks a node that holds a part of a customer's rate to count one request against that part.
	RatePermit struct {
		Team     string
		Customer string
	}

	// RatePermitReply is the reply to RatePermit. If the request exceeds the rate, Wait is the time after which to retry.
	RatePermitReply struct {
		Granted bool
		Wait    time.Duration
	}
)
