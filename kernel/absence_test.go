package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

// A missing entry is kept in use only on evidence that the store was away, and no longer than the bound allows after a
// report that the node can't have seen.
func TestJudgeAbsence(t *testing.T) {
	const ms = time.Millisecond
	outage := func(change func(*kernel.AbsenceEvidence)) kernel.AbsenceEvidence {
		e := kernel.AbsenceEvidence{Unproven: 6 * time.Second, Live: 10, Missing: 9, ProofInterval: 900 * ms, Bound: 3 * time.Second}
		change(&e)
		return e
	}
	for _, c := range []struct {
		name     string
		evidence kernel.AbsenceEvidence
		verdict  kernel.AbsenceVerdict
	}{
		{"most entries lapsed", outage(func(*kernel.AbsenceEvidence) {}), kernel.AbsenceVerdict{Reason: kernel.AbsenceMostMissing, Keep: 2100 * ms}},
		{"all entries lapsed", outage(func(e *kernel.AbsenceEvidence) { e.Missing = 10 }), kernel.AbsenceVerdict{Reason: kernel.AbsenceMostMissing, Keep: 2100 * ms}},
		{"both entries lapsed", outage(func(e *kernel.AbsenceEvidence) { e.Live, e.Missing = 2, 2 }), kernel.AbsenceVerdict{Reason: kernel.AbsenceMostMissing, Keep: 2100 * ms}},
		{"a long bound", outage(func(e *kernel.AbsenceEvidence) { e.Bound = 9 * time.Second }), kernel.AbsenceVerdict{Reason: kernel.AbsenceMostMissing, Keep: 2200 * ms}},
		{"no bound", outage(func(e *kernel.AbsenceEvidence) { e.Bound = 0 }), kernel.AbsenceVerdict{Reason: kernel.AbsenceMostMissing, Keep: 2200 * ms}},
		{"a short bound", outage(func(e *kernel.AbsenceEvidence) { e.Bound = time.Second }), kernel.AbsenceVerdict{Reason: kernel.AbsenceMostMissing, Keep: 100 * ms}},
		{"a bound that proofs use up", outage(func(e *kernel.AbsenceEvidence) { e.Bound = 900 * ms }), kernel.AbsenceVerdict{Reason: kernel.AbsenceBound}},
		{"the endpoint had said that it leaves", outage(func(e *kernel.AbsenceEvidence) { e.Leaving = true }), kernel.AbsenceVerdict{Reason: kernel.AbsenceStated}},
		{"the list was proven shortly before", outage(func(e *kernel.AbsenceEvidence) { e.Unproven = 2400 * ms }), kernel.AbsenceVerdict{Reason: kernel.AbsenceListProven}},
		{"the list was read meanwhile", outage(func(e *kernel.AbsenceEvidence) { e.ReadMeanwhile = true }), kernel.AbsenceVerdict{Reason: kernel.AbsenceReadMeanwhile}},
		{"half of the others are listed", outage(func(e *kernel.AbsenceEvidence) { e.Missing = 5 }), kernel.AbsenceVerdict{Reason: kernel.AbsenceOthersListed}},
		{"most others are listed", outage(func(e *kernel.AbsenceEvidence) { e.Missing = 1 }), kernel.AbsenceVerdict{Reason: kernel.AbsenceOthersListed}},
		{"there is no other", outage(func(e *kernel.AbsenceEvidence) { e.Live, e.Missing = 1, 1 }), kernel.AbsenceVerdict{Reason: kernel.AbsenceOthersListed}},
	} {
		must.Eq(t, c.verdict, kernel.JudgeAbsence(c.evidence), must.Sprint(c.name))
	}
}

// Removals are dated by the reads before and after them. Guards against reads on both sides of an outage that are taken for
// proof that the store was in use between them, and against times that grow as nodes tell them to each other.
func TestReadHistoryDatesRemovals(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var own kernel.ReadHistory
	for i := range 5 {
		own = own.WithRead(at(i*900), uint64(10+i))
	}
	must.True(t, own.InUse(10, 14))
	must.False(t, own.InUse(9, 10), must.Sprint("before the first read"))
	must.False(t, own.InUse(14, 15), must.Sprint("after the last read"))
	after := own.WithRead(at(9000), 30)
	must.False(t, after.InUse(20, 21), must.Sprint("in an outage"))
	must.False(t, after.InUse(13, 30))
	must.True(t, after.InUse(12, 13), must.Sprint("before the outage"))

	var other kernel.ReadHistory
	for i := range 11 {
		other = other.WithRead(at(i*900), uint64(10+2*i))
	}
	must.SliceEmpty(t, after.Lacking(at(9000), other.Spans(at(9000))), must.Sprint("the other one has missed nothing"))
	told := other.Lacking(at(9000), after.Spans(at(9000)))
	must.Len(t, 1, told)
	merged, added := after.WithSpans(at(9000), told)
	must.True(t, added)
	must.True(t, merged.InUse(20, 21), must.Sprint("read by another node"))
	_, added = merged.WithSpans(at(9200), told)
	must.False(t, added, must.Sprint("told again, later"))
}
