package scenario_test

import (
	"net/http"

	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/operator"
	"basilstall.example/basilstall/sample"
)

type (
	memberStatus   = operator.MemberStatus
	endpointStatus = dispatch.EndpointStatus
)

// bilbaoPipeline returns a pipeline of the sample settings.
func bilbaoPipeline(name string) (model.Pipeline, bool) {
	settings, _ := kernel.NewSettings().WithSnapshot(sample.BilbaoSnapshot())
	return settings.Pipeline("bilbao", name)
}

// callersOf returns a function that returns the caller addresses of those named nodes that are running.
func (f *fleet) callersOf(names []string) func() []string {
	return func() []string {
		var out []string
		for _, p := range f.nodes() {
			for _, name := range names {
				if p.name == name {
					out = append(out, p.addresses[0])
				}
			}
		}
		return out
	}
}

func (f *fleet) clearFaults(target string) error {
	req, err := http.NewRequest(http.MethodDelete, "http://"+f.platformAddress+"/faults?target="+target, nil)
	if err != nil {
		return err
	}
	res, err := f.client.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}
