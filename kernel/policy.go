package kernel

// The scheduling mechanisms that a policy can turn off one by one. docs/design/decisions.md lists the effect of
// each.
const (
	// SpacedCalls delays calls that are not full to space their starts evenly, so that more pieces join them.
	SpacedCalls Mechanism = iota
	// LateLast orders work that can no longer be on time after all work that can.
	LateLast
	// InputLocality delays pieces for a worker in the failure domain that holds their inputs.
	InputLocality
	// FreeInputsOnceFetched frees the inputs of a call once it has fetched them.
	FreeInputsOnceFetched
	// FreeInputsAtFirstEvent frees the inputs of a stream that can be resumed at its first event if their pool's
	// room is scarce.
	FreeInputsAtFirstEvent
	// LearnRoomFromRefusals estimates the room taken by the results of other batchers from what workers refuse
	// for lack of room.
	LearnRoomFromRefusals
	// SingleBatcher keeps a pool with its present batcher until that one leaves or is lost, and forwards to it
	// groups that arrive at other nodes.
	SingleBatcher
	// ProbeSuccessors asks several nodes at once whether they are available after a batcher was lost.
	ProbeSuccessors
	// WaitPerRequest estimates the wait of each request from its own pieces, by their size and due time.
	WaitPerRequest
	// ObjectiveFromFirstAttempt measures the latency objective of a retrying caller from its first attempt.
	ObjectiveFromFirstAttempt
	// PrefixAffinity sends prompts with the same prefix to the same engine.
	PrefixAffinity
	// HedgedReads sends a repeatable request that is unanswered to a second endpoint.
	HedgedReads
	// EndStarvedGroups ends work that can no longer be on time and has been overtaken for too long.
	EndStarvedGroups
	// AvoidSlowWorkers gives slow workers only what they make in time, and has the pieces of their overdue calls
	// made elsewhere.
	AvoidSlowWorkers
	// RankOnlyWhenOverloaded orders pieces by rank only while not all can be on time.
	RankOnlyWhenOverloaded
)

type (
	// Mechanism is a scheduling mechanism that can be turned off.
	Mechanism uint

	// Policy selects the mechanisms in use. The zero value uses all of them, as nodes do; tests and simulations
	// turn some off to measure their effect. It is immutable.
	Policy struct {
		// without has a bit set for each mechanism that is turned off.
		without uint64
	}
)

// Uses reports whether a mechanism is in use.
func (p Policy) Uses(m Mechanism) bool {
	return p.without&(1<<m) == 0
}

// Without returns the policy with one mechanism turned off.
func (p Policy) Without(m Mechanism) Policy {
	p.without |= 1 << m
	return p
}
