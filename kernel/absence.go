package kernel

import "time"

const (
	// relistGracePeriod is how long after the store answers again an entry that lapsed during the outage is kept, so
	// that its endpoint can be listed again: the platform promises that within about two seconds.
	relistGracePeriod = 2200 * time.Millisecond
	// outageThreshold is how long the list may go without being proven current before entries count as lapsed
	// during an outage. An entry outlives three heartbeat intervals of more than a second, and the list is proven
	// current every second, or every two where an answer is lost.
	outageThreshold = 2400 * time.Millisecond
	// minLapsedTogether is the least number of missing entries that may tell of an outage.
	minLapsedTogether = 2
)

// The reasons of JudgeAbsence.
const (
	// AbsenceStated: the endpoint was listed as leaving, or had stated it.
	AbsenceStated = AbsenceReason("Leaving")
	// AbsenceListProven: the list was proven current shortly before, so the store was not away.
	AbsenceListProven = AbsenceReason("ListProven")
	// AbsenceReadMeanwhile: nodes read the list from the store while the entry was removed.
	AbsenceReadMeanwhile = AbsenceReason("ReadMeanwhile")
	// AbsenceOthersListed: most other entries did not lapse.
	AbsenceOthersListed = AbsenceReason("OthersListed")
	// AbsenceMostMissing: most entries are missing, as after an outage in which no endpoint could renew its entry.
	AbsenceMostMissing = AbsenceReason("MostMissing")
	// AbsenceBound: the time in which the endpoint may have reported that it leaves has used up the bound.
	AbsenceBound = AbsenceReason("Bound")
	// AbsenceNotRelisted: the entry lapsed, and was not written again in time.
	AbsenceNotRelisted = AbsenceReason("NotRelisted")
)

type (
	// AbsenceReason is the evidence that decided whether an entry that is missing from the list is kept in use.
	AbsenceReason string

	// AbsenceEvidence is what a node knows about an entry that is missing from the list of endpoints.
	AbsenceEvidence struct {
		// Leaving is true if the endpoint was known to leave.
		Leaving bool
		// Unproven is the time between the last proof that the entry was listed and the proof that it is missing.
		Unproven time.Duration
		// ReadMeanwhile is true if nodes are known to have read the list from the store in that time, such that the store
		// was in use as the entry was removed (see ReadHistory.InUse).
		ReadMeanwhile bool
		// Live is how many entries of endpoints that do not leave were listed at the last proof, and Missing how many of
		// them are missing now. An outage ends the renewal of all entries alike.
		Live, Missing int
		// ProofInterval is the time between two proofs, or two reads of the list if that is longer. In such a time before an outage the endpoint may have
		// reported that it leaves, without this node having seen it.
		ProofInterval time.Duration
		// Bound is the time after such a report in which the endpoint may get work; zero if there is no bound.
		Bound time.Duration
	}

	// AbsenceVerdict is the decision about a missing entry: how long it is kept in use, and the evidence that decided.
	AbsenceVerdict struct {
		Reason AbsenceReason
		Keep   time.Duration
	}
)

// JudgeAbsence decides how long the endpoint of an entry that is missing from the list is kept in use. It is, for a time in
// which it can be listed again, only on evidence that the store itself was away: that nodes could not read the list may be
// due to a cut between them and the store, in which endpoints report that they leave.
func JudgeAbsence(e AbsenceEvidence) AbsenceVerdict {
	switch {
	case e.Leaving:
		return AbsenceVerdict{Reason: AbsenceStated}
	case e.Unproven <= outageThreshold:
		return AbsenceVerdict{Reason: AbsenceListProven}
	case e.ReadMeanwhile:
		return AbsenceVerdict{Reason: AbsenceReadMeanwhile}
	case e.Missing < minLapsedTogether || 2*e.Missing <= e.Live:
		return AbsenceVerdict{Reason: AbsenceOthersListed}
	case e.Bound > 0 && e.ProofInterval >= e.Bound:
		return AbsenceVerdict{Reason: AbsenceBound}
	case e.Bound > 0:
		return AbsenceVerdict{Reason: AbsenceMostMissing, Keep: min(relistGracePeriod, e.Bound-e.ProofInterval)}
	default:
		return AbsenceVerdict{Reason: AbsenceMostMissing, Keep: relistGracePeriod}
	}
}
