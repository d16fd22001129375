package blame_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/blame"
)

const logLines = `node-1 {"time":"2026-01-02T03:04:05.1Z","Request":"a","Route":"r","Outcome":"Refused","Reason":"StageLate","message":"the stages would be late","Estimates":[{"Pool":"p","Wait":20,"RoomTaken":0.2},{"Pool":"q","Wait":900,"RoomTaken":0.95}]}
{"time":"2026-01-02T03:04:05.9Z","Request":"b","Route":"r","Outcome":"Refused","Reason":"StageLate","message":"the stages would be late","Estimates":[{"Pool":"p","Wait":800,"RoomTaken":0.2},{"Pool":"q","Wait":9,"RoomTaken":0.95}]}
{"time":"2026-01-02T03:04:07Z","Request":"c","Outcome":"Refused","Reason":"UnknownPipeline","message":"no route matches"}
{"time":"2026-01-02T03:04:07Z","Request":"d","Route":"r","Outcome":"Answered","Late":true,"Stages":[{"Pool":"p","Estimate":10,"Waited":30},{"Pool":"q","Estimate":0,"Waited":2}]}
{"time":"2026-01-02T03:04:07Z","Request":"e","Route":"r","Outcome":"BrokenOff"}
{"time":"2026-01-02T03:04:07Z","Request":"f","Route":"r","Outcome":"Answered"}
{"time":"2026-01-02T03:04:07Z","message":"routing in force"}
{not JSON
`

func TestReport(t *testing.T) {
	report := blame.NewReport(2 * time.Second)
	must.NoError(t, report.Read(strings.NewReader(logLines)))
	var out strings.Builder
	must.NoError(t, report.Write(&out))
	got := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"03:04:04 r 1 StageLate, room of q",
		"03:04:04 r 1 StageLate, wait of p",
		"03:04:06 - 1 UnknownPipeline, no route matches",
		"03:04:06 r 1 late, pieces in p",
		"03:04:06 r 1 broken off",
		"p 1 10, 10 30, 30",
		"6 lines on ended requests; 1 lines skipped (not valid JSON)",
	} {
		must.StrContains(t, got, want)
	}
	must.StrNotContains(t, got, "routing in force")
}
