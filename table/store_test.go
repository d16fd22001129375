package table_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standin"
	"basilstall.example/basilstall/table"
)

func newStore(t *testing.T) (*table.Store, *standin.Standin) {
	t.Helper()
	s, err := standin.NewStandin(standin.Config{Platform: "127.0.0.1:0"})
	must.NoError(t, err)
	t.Cleanup(s.Close)
	store := table.NewStore(s.Address())
	t.Cleanup(store.Close)
	return store, s
}

func keyRow(key, writer string) table.KeyRow {
	return table.KeyRow{Key: key, Writer: writer}
}

func TestFirstInsertOfKeyWins(t *testing.T) {
	store, _ := newStore(t)
	first, err := store.InsertKeys(t.Context(), []table.KeyRow{keyRow("a", "1"), keyRow("b", "1")})
	must.NoError(t, err)
	must.EqOp(t, "1", first[0].Writer)
	second, err := store.InsertKeys(t.Context(), []table.KeyRow{keyRow("b", "2"), keyRow("c", "2"), keyRow("a", "2")})
	must.NoError(t, err)
	must.EqOp(t, "1", second[0].Writer)
	must.EqOp(t, "2", second[1].Writer)
	must.EqOp(t, "1", second[2].Writer)
}

func TestLostAnswerToInsertIsReadBack(t *testing.T) {
	store, s := newStore(t)
	s.InjectFault(standin.Fault{Target: "table", Kind: standin.FaultLostAnswer, Times: 1})
	got, err := store.InsertKeys(t.Context(), []table.KeyRow{keyRow("a", "1")})
	must.NoError(t, err)
	must.EqOp(t, "1", got[0].Writer)
	s.InjectFault(standin.Fault{Target: "table", Kind: standin.FaultDown})
	_, err = store.InsertKeys(t.Context(), []table.KeyRow{keyRow("b", "1")})
	must.Error(t, err)
}

func TestClaimsAreSwappedOncePerVersion(t *testing.T) {
	store, s := newStore(t)
	start := time.UnixMilli(1_700_000_000_000).UTC()
	members := []kernel.Member{{Node: "a", Incarnation: "1"}}
	empty, version, err := store.Claims(t.Context(), kernel.Claims{})
	must.NoError(t, err)
	must.EqOp(t, 0, empty.Number)
	claims := kernel.NewClaims(start, start, start.Add(time.Second), members, "w1")
	s.InjectFault(standin.Fault{Target: "table", Kind: standin.FaultLostAnswer, Times: 1})
	_, err = store.CompareAndSwapClaims(t.Context(), version, empty, claims)
	must.NoError(t, err, must.Sprint("the write is recognised by its writer"))
	_, err = store.CompareAndSwapClaims(t.Context(), version, empty, kernel.NewClaims(start, start, start, members, "w2"))
	must.Error(t, err)
	got, _, err := store.Claims(t.Context(), kernel.Claims{})
	must.NoError(t, err)
	must.Eq(t, claims, got)
}

func TestEraMembersAreReadOnce(t *testing.T) {
	store, s := newStore(t)
	start := time.UnixMilli(1_700_000_000_000).UTC()
	claims := kernel.NewClaims(start, start, start.Add(time.Second), []kernel.Member{{Node: "a"}}, "w1")
	_, err := store.CompareAndSwapClaims(t.Context(), 0, kernel.Claims{}, claims)
	must.NoError(t, err)
	known, _, err := store.Claims(t.Context(), kernel.Claims{})
	must.NoError(t, err)
	readsBefore := s.Usage().TableReads
	_, _, err = store.Claims(t.Context(), known)
	must.NoError(t, err)
	must.EqOp(t, readsBefore+1, s.Usage().TableReads)
}

func TestChangeIsAppliedOnceDespiteLostAnswer(t *testing.T) {
	store, s := newStore(t)
	change := func(operation, yaml string, base uint64) (table.ChangeOutcome, model.Document) {
		outcome, doc, _ := store.SetDocument(t.Context(), model.Document{Path: "fleet", Operation: operation, YAML: yaml}, base)
		return outcome, doc
	}
	outcome, doc := change("op1", "Horizon: 1s", 0)
	must.EqOp(t, table.Applied, outcome)
	must.EqOp(t, 1, doc.Revision)
	s.InjectFault(standin.Fault{Target: "table", Kind: standin.FaultLostAnswer, Times: 1})
	outcome, doc = change("op2", "Horizon: 2s", 1)
	must.EqOp(t, table.Applied, outcome, must.Sprint("the outcome is resolved by the history row"))
	must.EqOp(t, 2, doc.Revision)
	outcome, doc = change("op2", "Horizon: 2s", 1)
	must.EqOp(t, table.Applied, outcome, must.Sprint("the change is repeated"))
	must.EqOp(t, 2, doc.Revision)
	outcome, doc = change("op3", "Horizon: 3s", 1)
	must.EqOp(t, table.NotApplied, outcome)
	must.EqOp(t, "op2", doc.Operation, must.Sprint("the change that came first is returned"))
	outcome, _ = change("op4", "Horizon: 4s", 2)
	must.EqOp(t, table.Applied, outcome)
	outcome, doc = change("op2", "Horizon: 2s", 1)
	must.EqOp(t, table.Applied, outcome, must.Sprint("the change was applied once and overwritten later"))
	must.EqOp(t, 2, doc.Revision)
}

// A time limit on the whole answer, instead of on the time without a byte, would cancel a read whose answer is too large
// for its link, each time that the read is repeated. All documents of the settings are read in one answer.
func TestSnapshotOverSlowLink(t *testing.T) {
	direct, s := newStore(t)
	document := model.Document{Path: "teams/a", Operation: "1", YAML: strings.Repeat("# a long comment\n", 60_000)}
	outcome, _, err := direct.SetDocument(t.Context(), document, 0)
	must.NoError(t, err)
	must.EqOp(t, table.Applied, outcome)
	// The document of 1 MB takes 3 s over this link.
	link := standin.NewThrottledProxy(s.Address(), 32<<10, 100*time.Millisecond)
	t.Cleanup(link.Close)
	store := table.NewStore(link.Address())
	t.Cleanup(store.Close)
	snapshot, err := store.Snapshot(t.Context())
	must.NoError(t, err)
	must.SliceLen(t, 1, snapshot.Documents)
}
