package scenario_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/operator"
	"basilstall.example/basilstall/table"
)

const fleetSettingsFormat = "Horizon: 4s\nRetention: %ds\n"

// race makes changes one after another; in each, racing operators start from the same base
// through different nodes. Just one may win. It returns the longest time until a change was
// in force on all nodes.
func (f *fleet) raceChanges(count, racers int) (time.Duration, error) {
	var slowest time.Duration
	for i := range count {
		base, err := f.documentRevision("fleet")
		if err != nil {
			return slowest, err
		}
		began := time.Now()
		revision := uint64(0)
		for revision == 0 {
			// Nobody wins if the base was read from a stale table: the answers name the newer one.
			if revision, base, err = f.raceOnce(base, racers, i); err != nil {
				return slowest, err
			}
		}
		if err := f.awaitRevision(revision); err != nil {
			return slowest, err
		}
		slowest = max(slowest, time.Since(began))
	}
	return slowest, nil
}

func (f *fleet) documentRevision(path string) (uint64, error) {
	nodes := f.nodes()
	var doc model.Document
	var err error
	for range 50 {
		if err = f.operatorGet(nodes[0], "/v1/settings/"+path, &doc); err == nil {
			return doc.Revision, nil
		}
		time.Sleep(pollInterval)
	}
	return 0, err
}

// raceOnce returns the winner's revision, or zero and the base that the losers were told.
func (f *fleet) raceOnce(base uint64, racers, round int) (revision, newer uint64, err error) {
	nodes := f.nodes()
	results := make([]operator.ChangeResult, racers)
	errs := make([]error, racers)
	var wg sync.WaitGroup
	for r := range racers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &operator.Client{
				BaseURL: "http://" + nodes[r%len(nodes)].addresses[1],
				Token:   operatorsToken,
				HTTP:    &http.Client{Timeout: 30 * time.Second},
			}
			change := operator.Change{
				Base:      base,
				Operation: fmt.Sprintf("round-%d-racer-%d-of-%d", round, r, base),
				Author:    fmt.Sprintf("racer-%d", r),
				YAML:      fmt.Sprintf(fleetSettingsFormat, 600+round*racers+r),
			}
			// An outcome that is unknown is asked for again by the operation's number.
			for range 5 {
				results[r], errs[r] = c.SetDocument(context.Background(), "fleet", change)
				if errs[r] != nil || results[r].Outcome != table.Unknown {
					return
				}
			}
		}()
	}
	wg.Wait()
	return checkOneWinner(results, errs)
}

func checkOneWinner(results []operator.ChangeResult, errs []error) (revision, newer uint64, err error) {
	for i, result := range results {
		if errs[i] != nil {
			return 0, 0, errs[i]
		}
		if result.Outcome == table.Unknown {
			return 0, 0, fmt.Errorf("operation %s is unknown", result.Operation)
		}
		if result.Outcome != table.Applied {
			if result.Current != nil {
				newer = max(newer, result.Current.Revision)
			}
			continue
		}
		if revision != 0 {
			return 0, 0, fmt.Errorf("two operators won: revisions %d and %d", revision, result.Revision)
		}
		revision = result.Revision
	}
	if revision == 0 && newer == 0 {
		return 0, 0, fmt.Errorf("nobody won: %+v", results)
	}
	return revision, newer, nil
}

// awaitRevision waits until all nodes have a revision in force, and fails if one ever shows a
// lower revision than it showed before.
func (f *fleet) awaitRevision(revision uint64) error {
	var reverted error
	seen := map[string]uint64{}
	err := waitFor(func() bool {
		all := true
		for _, p := range f.nodes() {
			s, err := f.status(p)
			if err != nil {
				all = false
				continue
			}
			if s.Revision < seen[p.name] {
				reverted = fmt.Errorf("%s went back from revision %d to %d", p.name, seen[p.name], s.Revision)
				return true
			}
			seen[p.name] = s.Revision
			all = all && s.Revision >= revision
		}
		return all
	})
	if reverted != nil {
		return reverted
	}
	return err
}
