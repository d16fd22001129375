package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// members returns the members of a fleet of n nodes.
func members(n int) []kernel.Member {
	out := make([]kernel.Member, n)
	for i := range out {
		out[i] = kernel.Member{Node: fmt.Sprintf("node-%03d", i), Incarnation: "1", Address: "10.0.0.1:1"}
	}
	return out
}

// TestOwnersNeverChange checks that the owner of a key time below Firm stays the same whatever is written to the row,
// unless the owner itself has transferred its keys.
func TestOwnersNeverChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(6)
		row := kernel.NewClaims(testStart, testStart.Add(time.Second), testStart.Add(time.Second), all[:3], "w")
		transferred := map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "writes") {
			before := row
			step := time.Duration(rapid.IntRange(0, 3000).Draw(t, "step")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				row = row.WithHorizon(row.Firm.Add(step), row.Firm.Add(step), "w")
			case 1:
				from := rapid.IntRange(0, 5).Draw(t, "from")
				row = row.WithEra(all[from:], time.Time{}, row.Firm.Add(step), row.Firm.Add(step), "w")
			case 2:
				leaving := all[rapid.IntRange(0, 5).Draw(t, "left")]
				successor := all[rapid.IntRange(0, 5).Draw(t, "successor")]
				if transferred[leaving.ID()] || transferred[successor.ID()] || leaving == successor {
					continue
				}
				transferred[leaving.ID()] = true
				row = row.WithTransfer(leaving.ID(), successor, "w")
			}
			must.EqOp(t, before.Number+1, row.Number)
			must.False(t, row.Horizon.Before(before.Horizon))
			must.False(t, row.Firm.Before(before.Firm))
			for i := range 50 {
				key := timedKey(fmt.Sprint("k", i), testStart.Add(time.Duration(i)*200*time.Millisecond))
				old, ok := before.OwnerOf(key)
				if !ok || !key.Issued.Before(before.Firm) {
					continue
				}
				owner, ok := row.OwnerOf(key)
				must.True(t, ok)
				must.True(t, owner == old || transferred[old.ID()])
			}
		}
	})
}

func TestOwnersShareKeysEvenly(t *testing.T) {
	row := kernel.NewClaims(testStart, testStart, testStart.Add(time.Minute), members(9), "w")
	counts := map[string]int{}
	for range 9000 {
		owner, ok := row.OwnerOf(timedKey(uuid.NewString(), testStart))
		must.True(t, ok)
		counts[owner.Node]++
	}
	for node, n := range counts {
		must.Between(t, 850, n, 1150, must.Sprint(node))
	}
}

// The transfers of eras that are kept are kept as well, as the owners of their keys follow from them.
func TestWithoutBeforeKeepsTransfersOfKeptEras(t *testing.T) {
	all := members(4)
	row := kernel.NewClaims(testStart, testStart.Add(time.Second), testStart.Add(time.Second), all[:2], "w")
	row = row.WithTransfer(all[0].ID(), all[2], "w")
	row = row.WithEra(all[1:3], row.Firm, testStart.Add(2*time.Second), testStart.Add(2*time.Second), "w")
	row = row.WithTransfer(all[2].ID(), all[3], "w")
	row = row.WithEra(all[1:], row.Firm, testStart.Add(3*time.Second), testStart.Add(3*time.Second), "w")
	pruned := row.WithoutBefore(testStart.Add(1500 * time.Millisecond))
	must.Len(t, 2, pruned.Eras)
	must.Len(t, 1, pruned.Transfers)
	key := timedKey("k", testStart.Add(1200*time.Millisecond))
	want, _ := row.OwnerOf(key)
	got, ok := pruned.OwnerOf(key)
	must.True(t, ok)
	must.EqOp(t, want, got)
	_, ok = pruned.OwnerOf(timedKey("k", testStart))
	must.False(t, ok)
}

// A coordinator writes only when it is needed, and nodes of a lower rank write only if those before them have not.
func TestCoordinatorDecide(t *testing.T) {
	all := members(3)
	firm := 30 * time.Second
	row := kernel.NewClaims(testStart, testStart.Add(firm), testStart.Add(time.Hour), all, "w")
	cases := []struct {
		name  string
		self  int
		row   kernel.Claims
		alive []kernel.Member
		after time.Duration
		want  kernel.ClaimsAction
	}{
		{"nothing to do", 0, row, all, time.Second, kernel.KeepClaims},
		{"the first extends", 0, row, all, 11 * time.Second, kernel.ExtendHorizon},
		{"the second waits for the first", 1, row, all, 10500 * time.Millisecond, kernel.KeepClaims},
		{"the second extends if the first has not", 1, row, all, 12 * time.Second, kernel.ExtendHorizon},
		{"a member is gone", 0, row, all[:2], 3 * time.Second, kernel.StartEra},
		{"a member has been gone for less than StabilityTime", 0, row, all[:2], time.Second, kernel.KeepClaims},
		{"members keep changing and Firm is close", 0, kernel.NewClaims(testStart, testStart.Add(10*time.Second), testStart.Add(time.Hour), all, "w"), all[:2], time.Second, kernel.ExtendHorizon},
		{"a member that is not alive writes nothing", 2, row, all[:2], 9 * time.Second, kernel.KeepClaims},
		{"no row yet", 0, kernel.Claims{}, all, 3 * time.Second, kernel.CreateClaims},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			coordinator := kernel.ClaimsCoordinator{Self: all[c.self], FirmHorizon: firm, Horizon: time.Hour, StabilityTime: 2 * time.Second}
			now := testStart.Add(c.after)
			must.EqOp(t, c.want, coordinator.Decide(now, c.row, c.alive, testStart))
		})
	}
}

func TestParseKey(t *testing.T) {
	v7 := "018bcfe5-6800-7abc-8def-0123456789ab"
	cases := []struct {
		raw  string
		ok   bool
		mode model.KeyMode
	}{
		{v7, true, model.Claims},
		{"018BCFE5-6800-7ABC-8DEF-0123456789AB", true, model.Claims},
		{"3d3b0b8e-6f0a-4a9e-8a55-1f3a7d0c9b11", true, model.Durable},
		{"order-17", true, model.Durable},
		{"", false, ""},
		{"two words", false, ""},
		{string(make([]byte, 129)), false, ""},
	}
	for _, c := range cases {
		key, err := kernel.ParseKey("team/customer", c.raw)
		must.EqOp(t, c.ok, err == nil, must.Sprint(c.raw))
		if c.ok {
			must.EqOp(t, c.mode, key.Mode())
		}
	}
	lower, _ := kernel.ParseKey("c", v7)
	upper, _ := kernel.ParseKey("c", "018BCFE5-6800-7ABC-8DEF-0123456789AB")
	must.EqOp(t, lower.ID, upper.ID)
	must.EqOp(t, int64(0x018bcfe56800), lower.Issued.UnixMilli())
}

// An owner runs keys beyond Firm only up to the lowest grant of all members of the era. A member grants nothing
// while an era is being written.
func TestBoundNeedsGrantsOfAllMembers(t *testing.T) {
	at := func(s int) time.Time { return testStart.Add(time.Duration(s) * time.Second) }
	all := members(3)
	row := kernel.NewClaims(at(0), at(6), at(60), all, "w")
	grants := make([]*kernel.Grants, 3)
	for i := range grants {
		grants[i] = kernel.NewGrants(all[i])
	}
	grantUntil := func(i, until int) bool {
		granted, ok := grants[i].Grant(row, 1, at(until))
		if ok {
			grants[0].Record(all[i].ID(), 1, granted)
		}
		return ok
	}
	must.EqOp(t, at(6), grants[0].Bound(row))
	must.True(t, grantUntil(0, 10))
	must.True(t, grantUntil(1, 12))
	must.EqOp(t, at(6), grants[0].Bound(row), must.Sprint("the grant of one member is missing"))
	must.True(t, grantUntil(2, 9))
	must.EqOp(t, at(9), grants[0].Bound(row))
	must.True(t, grantUntil(2, 500))
	must.EqOp(t, at(10), grants[0].Bound(row))

	must.EqOp(t, at(12), grants[1].BeginEra(row), must.Sprint("an era starts at what its writer granted"))
	must.False(t, grantUntil(1, 20), must.Sprint("the writer of an era grants nothing until the row has changed"))
	grants[1].CancelEra()
	must.True(t, grantUntil(1, 20))
	must.EqOp(t, at(60), grants[2].Seal(row, row.Number), must.Sprint("a grant ends at the horizon at most"))
	must.False(t, grantUntil(2, 30))
	row = row.WithHorizon(at(14), at(70), "w")
	must.True(t, grantUntil(2, 30), must.Sprint("a newer row ends the seal, as an era against the old row can no longer be written"))
	row = row.WithEra(all[1:], at(30), at(32), at(70), "w")
	must.EqOp(t, at(32), grants[0].Bound(row), must.Sprint("grants of an older era are void"))
	must.False(t, grantUntil(1, 40), must.Sprint("an older era"))
}
