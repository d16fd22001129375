package kernel

// The mechanisms of decision that a policy can do without, each by itself. What each is worth is
// listed in docs/design/decisions.md.
const (
	// SpacedCalls lets calls for pieces that are not full wait for an even share of the workers' time,
	// so that more pieces join them.
	SpacedCalls Mechanism = iota
	// LateLast orders work that can no longer be on time after all that can.
	LateLast
	// InputLocality lets pieces wait for a worker in the failure domain where their inputs lie.
	InputLocality
	// FreeInputsOnceFetched frees the inputs of a call once it has fetched them.
	FreeInputsOnceFetched
	// FreeInputsAtFirstEvent frees the inputs of a stream that may be resumed at its first event, where
	// their pool's room is scarce.
	FreeInputsAtFirstEvent
	// LearnRoomFromRefusals takes what workers refuse for lack of room as a measure of what others left there.
	LearnRoomFromRefusals
	// SingleBatcher keeps a pool with the node that batches for it until that one leaves or is lost, and
	// sends groups on to it that come elsewhere.
	SingleBatcher
	// ProbeSuccessors asks several nodes at once which of them is there when a batcher was lost.
	ProbeSuccessors
	// WaitPerRequest tells each request the wait of its own pieces: by their size and by when they are due.
	WaitPerRequest
	// ObjectiveFromFirstAttempt counts the objective of callers that come back from their first attempt.
	ObjectiveFromFirstAttempt
	// PrefixAffinity sends prompts that share their beginning to the same engine.
	PrefixAffinity
	// HedgedReads sends a repeatable request without an answer to a second endpoint.
	HedgedReads
	// EndStarvedGroups ends work that can no longer be on time once others have passed it by for too long.
	EndStarvedGroups
	// AvoidSlowWorkers gives workers that have turned slow only what they make in time, and has what they hold up made
	// elsewhere.
	AvoidSlowWorkers
	// RankOnlyWhenOverloaded has priority count in the order of pieces only while not all can be on time.
	RankOnlyWhenOverloaded
)

type (
	// Mechanism is one mechanism of decision.
	Mechanism uint

	// Policy says which mechanisms decide. The zero value uses all of them, as nodes do; tests and
	// trials leave some out to see what they are worth. It is immutable.
	Policy struct {
		// without has a bit set for each mechanism that is left out.
		without uint64
	}
)

// Uses tells whether a mechanism decides.
func (p Policy) Uses(m Mechanism) bool {
	return p.without&(1<<m) == 0
}

// Without returns the policy less one mechanism.
func (p Policy) Without(m Mechanism) Policy {
	p.without |= 1 << m
	return p
}
