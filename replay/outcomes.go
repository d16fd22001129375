package replay

import (
	"fmt"
	"os"
	"slices"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/yamldoc"
)

// Outcomes are what a replay must reach. A figure that is not given is not checked.
type Outcomes struct {
	// Attainment is the least share of requests answered whole within their deadlines.
	Attainment float64 `yaml:"Attainment" validate:"gte=0,lte=1"`
	// AttainmentByPipeline and AttainmentByCustomer hold for one of them each.
	AttainmentByPipeline map[string]float64 `yaml:"AttainmentByPipeline"`
	AttainmentByCustomer map[string]float64 `yaml:"AttainmentByCustomer"`
	// MostRunsPerKey is 1 unless a trace says otherwise.
	MostRunsPerKey int `yaml:"MostRunsPerKey" validate:"gte=0"`
	// MostRefusals bounds the refusals.
	MostRefusals *int `yaml:"MostRefusals"`
	// MostBusySeconds bounds the endpoint-seconds of a pool for each complete answer.
	MostBusySeconds map[string]float64 `yaml:"MostBusySeconds"`
}

// ReadOutcomes reads an outcomes file, strictly.
func ReadOutcomes(file string) (Outcomes, error) {
	o := Outcomes{MostRunsPerKey: 1}
	data, err := os.ReadFile(file)
	if err != nil {
		return o, errors.Wrap(err, "replay: unable to read the outcomes")
	}
	return o, yamldoc.Decode(file, data, &o)
}

// Missed returns a sentence for each outcome that a report misses, in order.
func (o Outcomes) Missed(r Report) []string {
	var missed []string
	miss := func(format string, args ...any) {
		missed = append(missed, fmt.Sprintf(format, args...))
	}
	if r.Attainment < o.Attainment {
		miss("attainment is %.4f, wanted %.4f", r.Attainment, o.Attainment)
	}
	for _, name := range sortedKeys(o.AttainmentByPipeline) {
		if got := r.Pipelines[name].Attainment(); got < o.AttainmentByPipeline[name] {
			miss("attainment of pipeline %s is %.4f, wanted %.4f", name, got, o.AttainmentByPipeline[name])
		}
	}
	for _, name := range sortedKeys(o.AttainmentByCustomer) {
		if got := r.Customers[name].Attainment(); got < o.AttainmentByCustomer[name] {
			miss("attainment of customer %s is %.4f, wanted %.4f", name, got, o.AttainmentByCustomer[name])
		}
	}
	if r.MostRunsPerKey > o.MostRunsPerKey {
		miss("a key ran %d times", r.MostRunsPerKey)
	}
	if r.Wrong > 0 {
		miss("%d answers were not whole or not their request's", r.Wrong)
	}
	if r.NotRunUntrue > 0 {
		miss("%d requests were refused as NotRun and ran", r.NotRunUntrue)
	}
	if o.MostRefusals != nil && r.Refused > *o.MostRefusals {
		miss("%d requests were refused, wanted at most %d", r.Refused, *o.MostRefusals)
	}
	for _, pool := range sortedKeys(o.MostBusySeconds) {
		if got := r.BusyPerAnswer(pool); got > o.MostBusySeconds[pool] {
			miss("pool %s was busy for %.4f s an answer, wanted at most %.4f", pool, got, o.MostBusySeconds[pool])
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
