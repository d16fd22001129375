package node_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/caller"
	"basilstall.example/basilstall/config"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/node"
	"basilstall.example/basilstall/sample"
	"basilstall.example/basilstall/standin"
)

// A draining node refuses requests that may still be running at its drain limit. Guards against accepting requests during the
// drain that are cut off when the node closes.
func TestDrainingNodeCutsOffNothing(t *testing.T) {
	for _, pipeline := range []string{"renewal", "collection-ticket"} {
		t.Run(pipeline, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1)
			options := config.NewOptions()
			options.Name, options.FailureDomain, options.Platform = "leaving", sample.BilbaoDomains[0], f.platform.Address()
			options.PeersToken, options.OperatorsToken = "token", "token"
			options.DrainDelay, options.DrainLimit = 500*time.Millisecond, 2*time.Second
			leaving, err := node.NewNode(*options, zerolog.Nop())
			must.NoError(t, err)
			f.nodes = append(f.nodes, leaving)
			f.awaitReady()
			for _, pool := range f.platform.Endpoints() {
				f.platform.InjectFault(standin.Fault{Target: pool.Pool, Kind: standin.FaultDelay, Delay: 3 * time.Second})
			}
			cut := make(chan int, 1)
			go func() { cut <- leaving.Drain(context.Background()) }()
			f.await("the node drains", leaving.Draining)
			var sent sync.WaitGroup
			for i := range 20 {
				sent.Go(func() {
					time.Sleep(time.Duration(i) * 50 * time.Millisecond)
					client := &caller.Client{BaseURL: "http://" + leaving.CallersAddress(), Token: sample.BilbaoToken, HTTP: &http.Client{Timeout: awaitTimeout}}
					_, _ = client.Send(context.Background(), caller.Call{
						Pipeline: pipeline, Key: uuid.Must(uuid.NewV7()).String(), Body: caller.RequestBody{Input: model.Input{Text: "usual", MaxTokens: 5}},
					})
				})
			}
			must.EqOp(t, 0, <-cut)
			sent.Wait()
		})
	}
}
