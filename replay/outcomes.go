package replay

import (
	"fmt"
	"os"
	"slices"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/yamldoc"
)

// Outcomes are the requirements that a replay's report must meet. Those that are not given are not checked, except
// MostRunsPerKey.
type Outcomes struct {
	// Attainment is the minimum share of requests with a complete answer within their deadlines.
	Attainment float64 `yaml:"Attainment" validate:"gte=0,lte=1"`
	// AttainmentByPipeline and AttainmentByCustomer are the minimum shares for single pipelines and customers.
	AttainmentByPipeline map[string]float64 `yaml:"AttainmentByPipeline"`
	AttainmentByCustomer map[string]float64 `yaml:"AttainmentByCustomer"`
	// MostRunsPerKey is the maximum number of runs of an idempotency key; 1 if the file does not give it.
	MostRunsPerKey int `yaml:"MostRunsPerKey" validate:"gte=0"`
	// MostRefusals is the maximum number of refused requests.
	MostRefusals *int `yaml:"MostRefusals"`
	// MostBusySeconds is the maximum of a pool's endpoint-seconds per answer within its deadline.
	MostBusySeconds map[string]float64 `yaml:"MostBusySeconds"`
}

// ReadOutcomes reads an outcomes file; unknown keys are errors.
func ReadOutcomes(file string) (Outcomes, error) {
	o := Outcomes{MostRunsPerKey: 1}
	data, err := os.ReadFile(file)
	if err != nil {
		return o, errors.Wrap(err, "replay: unable to read the outcomes")
	}
	return o, yamldoc.Decode(file, data, &o)
}

// Missed returns a message for each requirement that a report does not meet. It always checks that no answer was wrong
// and that no request ran that was refused with verdict NotRun.
func (o Outcomes) Missed(r Report) []string {
	var missed []string
	miss := func(format string, args ...any) {
		missed = append(missed, fmt.Sprintf(format, args...))
	}
	if r.Attainment < o.Attainment {
		miss("attainment is %.4f, want at least %.4f", r.Attainment, o.Attainment)
	}
	for _, name := range sortedKeys(o.AttainmentByPipeline) {
		if got := r.Pipelines[name].Attainment(); got < o.AttainmentByPipeline[name] {
			miss("attainment of pipeline %s is %.4f, want at least %.4f", name, got, o.AttainmentByPipeline[name])
		}
	}
	for _, name := range sortedKeys(o.AttainmentByCustomer) {
		if got := r.Customers[name].Attainment(); got < o.AttainmentByCustomer[name] {
			miss("attainment of customer %s is %.4f, want at least %.4f", name, got, o.AttainmentByCustomer[name])
		}
	}
	if r.MostRunsPerKey > o.MostRunsPerKey {
		miss("a key ran %d times", r.MostRunsPerKey)
	}
	if r.Wrong > 0 {
		miss("%d answers were incomplete or belonged to another request", r.Wrong)
	}
	if r.NotRunUntrue > 0 {
		miss("%d requests were refused with verdict NotRun but ran", r.NotRunUntrue)
	}
	if o.MostRefusals != nil && r.Refused > *o.MostRefusals {
		miss("%d requests were refused, want at most %d", r.Refused, *o.MostRefusals)
	}
	for _, pool := range sortedKeys(o.MostBusySeconds) {
		if got := r.BusyPerAnswer(pool); got > o.MostBusySeconds[pool] {
			miss("pool %s was busy for %.4f s per answer, want at most %.4f", pool, got, o.MostBusySeconds[pool])
		}
	}
	return missed
}

func sortedKeys(m map[string]float64) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
