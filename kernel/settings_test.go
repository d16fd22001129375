package kernel_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "basilstall.example/basilstall/engine"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	_ "basilstall.example/basilstall/pool"
	_ "basilstall.example/basilstall/service"
)

const validTeam = `Team: bilbao
Customers:
  - {Name: bar, Token: token-of-bar}
Pipelines:
  - Name: ask
    Deadline: 5s
    Stages:
      - {Name: encode, Kind: Encode, Pool: encoders}
`

func TestCheckDocument(t *testing.T) {
	replaced := func(old, text string) string { return strings.Replace(validTeam, old, text, 1) }
	cases := []struct {
		name    string
		path    string
		text    string
		wantErr string
	}{
		{"good", "teams/bilbao", validTeam, ""},
		{"good fleet", "fleet", "Horizon: 30s\n", ""},
		{"another team's path", "teams/moravia", validTeam, "the path says"},
		{"no such path", "nowhere", validTeam, "a path is"},
		{"unknown key", "teams/bilbao", replaced("Deadline: 5s", "Dedline: 5s"), "teams/bilbao:6: "},
		{"wrong unit", "teams/bilbao", replaced("5s", "5 parsecs"), "teams/bilbao:6: "},
		{"unknown kind", "teams/bilbao", replaced("Kind: Encode", "Kind: Encipher"), `unknown Kind "Encipher"`},
		{"short token", "teams/bilbao", replaced("token-of-bar", "short"), "Token"},
		{"two non-idempotent stages", "teams/bilbao", validTeam +
			"      - {Name: a, Kind: Call, Pool: p, Operation: o, NonIdempotent: true}\n" +
			"      - {Name: b, Kind: Call, Pool: p, Operation: o, NonIdempotent: true}\n", "at most one"},
		{"stage twice", "teams/bilbao", validTeam + "      - {Name: encode, Kind: Encode, Pool: encoders}\n", "two stages"},
		{"horizon out of range", "fleet", "Horizon: 1ms\n", "Horizon"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := kernel.NewSettings().Check(c.path, c.text)
			if c.wantErr == "" {
				must.NoError(t, err)
				return
			}
			must.ErrorContains(t, err, c.wantErr)
		})
	}
}

func TestBadDocumentKeepsSettingsInForce(t *testing.T) {
	good := model.Document{Path: "teams/bilbao", Revision: 1, YAML: validTeam}
	s, refused := kernel.NewSettings().WithSnapshot(model.Snapshot{Revision: 1, Documents: []model.Document{good}})
	must.SliceEmpty(t, refused)
	bad := model.Document{Path: "teams/bilbao", Revision: 2, YAML: "Team: bilbao\n"}
	s, refused = s.WithSnapshot(model.Snapshot{Revision: 2, Documents: []model.Document{bad}})
	must.Len(t, 1, refused)
	must.EqOp(t, 2, s.Revision)
	_, ok := s.Pipeline("bilbao", "ask")
	must.True(t, ok)
	_, ok = s.Caller("token-of-bar")
	must.True(t, ok)
}

func TestDuplicateTokenBelongsToEarlierDocument(t *testing.T) {
	other := strings.Replace(validTeam, "Team: bilbao", "Team: moravia", 1)
	documents := []model.Document{
		{Path: "teams/moravia", Revision: 2, YAML: other},
		{Path: "teams/bilbao", Revision: 1, YAML: validTeam},
	}
	for range 10 {
		s, _ := kernel.NewSettings().WithSnapshot(model.Snapshot{Revision: 2, Documents: documents})
		caller, _ := s.Caller("token-of-bar")
		must.EqOp(t, "bilbao", caller.Team)
	}
	s, _ := kernel.NewSettings().WithSnapshot(model.Snapshot{Revision: 1, Documents: documents[1:]})
	must.ErrorContains(t, s.Check("teams/moravia", other), "taken by another team")
}

// The revision in force and that of each document never decrease, whatever snapshots arrive in whatever order: from
// the table, outdated, or from peers.
func TestSettingsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := kernel.NewSettings()
		for range rapid.IntRange(1, 20).Draw(t, "snapshots") {
			revision := uint64(rapid.IntRange(1, 12).Draw(t, "revision"))
			documents := []model.Document{{
				Path: "fleet", Revision: uint64(rapid.IntRange(1, int(revision)).Draw(t, "document")),
				YAML: fmt.Sprintf("Horizon: %ds\n", revision),
			}}
			before := s
			s, _ = s.WithSnapshot(model.Snapshot{Revision: revision, Documents: documents})
			must.GreaterEq(t, before.Revision, s.Revision)
			must.GreaterEq(t, before.Documents["fleet"].Revision, s.Documents["fleet"].Revision)
		}
	})
}

// The last customer of a team is taken out of its document. Guards against a token that still works then.
func TestTeamWithoutCustomersAdmitsNoToken(t *testing.T) {
	settings, refused := kernel.NewSettings().WithSnapshot(model.Snapshot{Revision: 1, Documents: []model.Document{{Path: "teams/bilbao", Revision: 1, YAML: validTeam}}})
	must.Len(t, 0, refused)
	customer := settings.Teams()[0].Customers[0]
	_, known := settings.Caller(customer.Token)
	must.True(t, known)
	for i, list := range []string{"[]", "null", "~"} {
		text := strings.Replace(validTeam, "\n  - {Name: bar, Token: token-of-bar}", " "+list, 1)
		revision := uint64(i + 2)
		changed, refused := settings.WithSnapshot(model.Snapshot{Revision: revision, Documents: []model.Document{{Path: "teams/bilbao", Revision: revision, YAML: text}}})
		_, known := changed.Caller(customer.Token)
		// A document that is refused leaves what is in force.
		must.EqOp(t, len(refused) > 0, known, must.Sprint(list))
	}
	emptied, _ := settings.WithSnapshot(model.Snapshot{Revision: 9})
	_, known = emptied.Caller(customer.Token)
	must.False(t, known)
}
