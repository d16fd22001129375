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

// fleetSettingsFormat formats the fleet document with its retention in seconds, which differs between the operators of a
// race and between the races of one call of raceChanges.
const fleetSettingsFormat = "Horizon: 4s\nRetention: %ds\n"

// raceChanges makes changes one after another. In each, several operators submit changes with the same base revision
// through different nodes, and at most one may be applied. It returns the longest time until a change was in force on
// all nodes.
func (f *fleet) raceChanges(count, racers int) (time.Duration, error) {
	var longest time.Duration
	for i := range count {
		base, err := f.documentRevision("fleet")
		if err != nil {
			return longest, err
		}
		start := time.Now()
		revision := uint64(0)
		for revision == 0 {
			// No change is applied if the base was read from a stale table. The replies then contain the current revision.
			if revision, base, err = f.raceOnce(base, racers, i); err != nil {
				return longest, err
			}
		}
		if err := f.awaitRevision(revision); err != nil {
			return longest, err
		}
		longest = max(longest, time.Since(start))
	}
	return longest, nil
}

// documentRevision returns the current revision of a settings document.
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

// raceOnce makes all operators submit a change with the same base revision. It returns the revision of the change that
// was applied, or, if none was, zero and the current revision that the replies contain.
func (f *fleet) raceOnce(base uint64, racers, round int) (revision, current uint64, err error) {
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
			// If the outcome is unknown, the same operation is submitted again to learn it.
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

// checkOneWinner returns the revision of the change that was applied, or zero and the greatest current revision that the
// replies contain. It fails if several changes were applied or an outcome is still unknown.
func checkOneWinner(results []operator.ChangeResult, errs []error) (revision, current uint64, err error) {
	for i, result := range results {
		if errs[i] != nil {
			return 0, 0, errs[i]
		}
		if result.Outcome == table.Unknown {
			return 0, 0, fmt.Errorf("outcome of operation %s is unknown", result.Operation)
		}
		if result.Outcome != table.Applied {
			if result.Current != nil {
				current = max(current, result.Current.Revision)
			}
			continue
		}
		if revision != 0 {
			return 0, 0, fmt.Errorf("two changes were applied: revisions %d and %d", revision, result.Revision)
		}
		revision = result.Revision
	}
	if revision == 0 && current == 0 {
		return 0, 0, fmt.Errorf("no change was applied and no reply has a current revision: %+v", results)
	}
	return revision, current, nil
}

// awaitRevision waits until a revision, or a later one, is in force on all nodes. It fails if a node reverts to a lower
// revision.
func (f *fleet) awaitRevision(revision uint64) error {
	var reverted error
	lastSeen := map[string]uint64{}
	err := waitFor(func() bool {
		reached := true
		for _, p := range f.nodes() {
			s, err := f.status(p)
			if err != nil {
				reached = false
				continue
			}
			if s.Revision < lastSeen[p.name] {
				reverted = fmt.Errorf("%s reverted from revision %d to %d", p.name, lastSeen[p.name], s.Revision)
				return true
			}
			lastSeen[p.name] = s.Revision
			reached = reached && s.Revision >= revision
		}
		return reached
	})
	if reverted != nil {
		return reverted
	}
	return err
}
