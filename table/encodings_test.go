package table_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/table"
)

// Rows outlive the process that wrote them, and nodes of other builds read them. The keys of the rows and the fields in
// them must therefore keep their names.
func TestStoredRowsKeepTheirNames(t *testing.T) {
	store, _ := newStore(t)
	start := time.UnixMilli(1_700_000_000_000).UTC()
	members := []kernel.Member{{Node: "a", Incarnation: "1", Address: "x:1"}}
	claims := kernel.NewClaims(start, start, start.Add(time.Second), members, "w1")
	claims.Transfers = []kernel.Transfer{{From: "a", To: members[0]}}
	_, err := store.CompareAndSwapClaims(t.Context(), 0, kernel.Claims{}, claims)
	must.NoError(t, err)
	_, err = store.InsertKeys(t.Context(), []table.KeyRow{{Key: "k", Writer: "w", Fingerprint: 7, At: start}})
	must.NoError(t, err)
	must.NoError(t, store.ChangeRateCap(t.Context(), "i", model.RateCap{Stated: true, PerSecond: 2}))
	must.NoError(t, store.ChangeHeld(t.Context(), kernel.QuarantineChange{Hold: []kernel.HeldRequest{{Digest: "d", Pool: "p", Since: time.Second}}}))
	for key, want := range map[string]string{
		"claims/row":               `{"Number":1,"Writer":"w1","Firm":"2023-11-14T22:13:20Z","Horizon":"2023-11-14T22:13:21Z","Eras":[{"Number":1,"From":"2023-11-14T22:13:20Z"}],"Transfers":[{"From":"a","To":{"Node":"a","Incarnation":"1","Address":"x:1"}}]}`,
		"claims/eras/000000000001": `{"Number":1,"From":"2023-11-14T22:13:20Z","Members":[{"Node":"a","Incarnation":"1","Address":"x:1"}]}`,
		"keys/k":                   `{"Key":"k","Member":"","Writer":"w","Fingerprint":7,"At":"2023-11-14T22:13:20Z"}`,
		"notices/row":              `{"Held":[{"Digest":"d","Pool":"p","Firm":false,"Incarnations":null,"Since":1000000000}],"RateCaps":{"i":{"Stated":true,"PerSecond":2}}}`,
	} {
		row, err := store.Get(t.Context(), key)
		must.NoError(t, err)
		must.EqOp(t, want, string(row.Value))
	}
}
