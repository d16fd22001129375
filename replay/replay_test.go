package replay_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/replay"
)

func TestReplayedTracesMeetGuarantees(t *testing.T) {
	for _, name := range []string{"bilbao", "moravia"} {
		t.Run(name, func(t *testing.T) {
			trace, err := replay.ReadTrace("../traces/" + name + ".jsonl")
			must.NoError(t, err)
			setup, err := replay.NewSetup(t.Context(), trace.Header, false, zerolog.Nop())
			must.NoError(t, err)
			defer setup.Close()
			// A tenth of the load keeps the checks independent of the machine's speed.
			report := replay.NewReplay(trace.WithLoad(0.1), setup).Run(t.Context())
			must.EqOp(t, 1, report.MostRunsPerKey)
			must.EqOp(t, 0, report.Wrong)
			must.EqOp(t, 0, report.NotRunUntrue)
			must.EqOp(t, 0, report.Failed)
			must.Positive(t, report.Attained)
		})
	}
}

func TestParseTraceRejectsInvalidInput(t *testing.T) {
	header := `{"Sample":"Bilbao","Nodes":3}` + "\n"
	cases := map[string]string{
		`{"At":"1s","Customr":"x"}`: "t.jsonl:2: ",
		`{"At":"1"}`:                "t.jsonl:2: ",
		"":                          "no entries",
	}
	for line, wantError := range cases {
		_, err := replay.ParseTrace("t.jsonl", []byte(header+line))
		must.ErrorContains(t, err, wantError)
	}
}

func TestWithLoadScalesEvenlyAndKeepsKeysDistinct(t *testing.T) {
	trace := replay.Trace{}
	for i := range 100 {
		trace.Entries = append(trace.Entries, replay.Entry{At: replay.Duration(time.Duration(i) * time.Second), Key: "k"})
	}
	must.Len(t, 50, trace.WithLoad(0.5).Entries)
	must.Len(t, 150, trace.WithLoad(1.5).Entries)
	tripled := trace.WithLoad(3).Entries
	must.Len(t, 300, tripled)
	must.EqOp(t, "k", tripled[0].Key)
	must.EqOp(t, "k-1", tripled[1].Key)
	must.EqOp(t, "k-2", tripled[2].Key)
}

func TestMissedListsEachMissedOutcome(t *testing.T) {
	none := 0
	o := replay.Outcomes{Attainment: 0.9, MostRunsPerKey: 1, MostRefusals: &none, AttainmentByPipeline: map[string]float64{"renewal": 0.5}}
	report := replay.Report{Attainment: 0.8, MostRunsPerKey: 2, Refused: 3, Wrong: 1, NotRunUntrue: 1}
	must.Len(t, 6, o.Missed(report))
	must.Len(t, 0, replay.Outcomes{MostRunsPerKey: 1}.Missed(replay.Report{MostRunsPerKey: 1}))
}
