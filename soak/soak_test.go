package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/platform/standin"
)

var (
	firstSeed  = flag.Uint64("first", 1, "the first seed of a soak by hand")
	seedCount  = flag.Int("seeds", 0, "how many seeds a soak by hand runs; 0: only the kept ones")
	faultTime  = flag.Duration("for", 6*time.Second, "how long faults are injected for each seed")
	onlyFaults = flag.String("only", "", "the kinds of faults, with commas between; empty for all")
	nodeCount  = flag.Int("nodes", 4, "how many nodes run")
	logFolder  = flag.String("logs", "", "folder that gets the nodes' logs of seeds that fail")
)

// seed1Faults are the kinds of faults that seed 1 drew from when it failed.
const seed1Faults = "kill,terminate,pause,reload,store fails,store compacts,store link,node link,reader cut off," +
	"endpoint fails,endpoint link,endpoint leaves,endpoint starts again,foreign entries,routing changes,routes added," +
	"key taken away,key taken away behind a cut,store away"

// poisonSeedFaults are the kinds of faults that the seeds drew from that have poison requests and no evacuations.
const poisonSeedFaults = seed1Faults + ",poison requests"

// keptSeeds are run each time: the first for a start, the others because they once failed.
var keptSeeds = []struct {
	seed uint64
	// only names the kinds of faults; empty for all.
	only  string
	last  time.Duration
	cause string
}{
	{1, seed1Faults, 6 * time.Second, "no node served after the faults, once beside much else"},
	{2, poisonSeedFaults, 6 * time.Second, "none: a short run of these kinds"},
	{3, "evacuation,cold endpoint,kill,terminate,pause,store fails,store compacts,reader cut off", 6 * time.Second, "none: evacuations and cold endpoints beside troubles of nodes and the store"},
	{4, "rate cap,kill,terminate,pause,store fails,reader cut off", 12 * time.Second, "none: endpoints that state rate caps beside troubles of nodes and the store"},
	{100, "rate cap,store fails,store compacts", 10 * time.Second, "none: rate caps of engines, services and workers, while nodes have no trouble of their own"},
	{74019, poisonSeedFaults, 10 * time.Second, "two requests that end endpoints at one end: it counts against one of them only, and the other needs one more"},
	{4015, "reader cut off,endpoint leaves", 12 * time.Second, "an endpoint listed and removed between two questions stayed in use"},
	{9005, "routes added,routing changes,kill,store link", 12 * time.Second, "a node was told each version of a large routing that it had missed, more than it reads at once"},
}

// faultsPerSecond is how many faults begin in a second; each lasts up to maxFaultDuration.
const (
	faultsPerSecond  = 2.0
	maxFaultDuration = 2500 * time.Millisecond
	callerCount      = 6
	recoveryTimeout  = 30 * time.Second
)

func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "basilstall")
	out, err := exec.Command("go", "build", "-o", binary, "basilstall.example/basilstall").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	for _, kept := range keptSeeds {
		t.Run(fmt.Sprint("seed-", kept.seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, binary, kept.seed, kept.only, kept.last)
		})
	}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, binary, seed, *onlyFaults, *faultTime)
		})
	}
}

// soak runs one seed: the same faults at the same times, as far as processes allow.
func runSeed(t *testing.T, binary string, seed uint64, only string, last time.Duration) {
	random := rand.New(rand.NewPCG(seed, 0))
	c := &cluster{
		dir: t.TempDir(), binary: binary, store: standin.NewStore(),
		endpoints: map[string]*endpoint{}, apiKeys: []string{validKey}, revokedAPIKeys: map[string]time.Time{}, evacuations: map[string][]period{},
	}
	defer c.close()
	c.store.SetRewrite(c.replaceNodeAddress)
	for pool, count := range map[string]int{"plain": 3, "engines": 3, "workers": 2} {
		for i := range count {
			must.NoError(t, c.startEndpoint(fmt.Sprintf("%s-%d", pool, i), pool))
		}
	}
	c.writeRouting()
	for i := range *nodeCount {
		must.NoError(t, c.startNode(i))
	}
	cs := newCallers(c)
	c.callers = cs
	c.checkRecovery(cs, "before", startTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	for i := range callerCount {
		own := rand.New(rand.NewPCG(seed, uint64(i+1)))
		calling.Go(func() { cs.run(ctx, own, fmt.Sprintf("caller-%d", i)) })
	}
	injected := inject(c, random, selectFaults(only), last)
	cancel()
	calling.Wait()
	c.checkRecovery(cs, "after", recoveryTimeout)
	c.checkPoison(cs)
	c.checkRecovery(cs, "beside", recoveryTimeout)
	c.check(cs)
	t.Logf("seed %d: %d requests, faults %v", seed, len(cs.requests), injected)
	if len(c.violations) > 0 {
		c.saveLogs(t, seed)
	}
	for _, b := range c.violations[:min(len(c.violations), 10)] {
		t.Errorf("seed %d: %s", seed, b)
	}
}

// chosen returns the kinds of faults with certain names; all for none.
func selectFaults(names string) []fault {
	if names == "" {
		return faults
	}
	var out []fault
	for _, f := range faults {
		if slices.Contains(strings.Split(names, ","), f.name) {
			out = append(out, f)
		}
	}
	return out
}

// inject starts faults at random times and returns how many of each kind once all have ended.
func inject(c *cluster, random *rand.Rand, faults []fault, length time.Duration) map[string]int {
	counts := map[string]int{}
	var running sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		f := faults[random.IntN(len(faults))]
		last := time.Duration(random.Float64() * float64(maxFaultDuration))
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		pause := time.Duration(random.ExpFloat64() / faultsPerSecond * float64(time.Second))
		counts[f.name]++
		running.Go(func() { f.inject(c, own, last) })
		time.Sleep(pause)
	}
	running.Wait()
	return counts
}

// printLogs prints how the nodes' logs end, where they are kept nowhere.
func (c *cluster) printLogs(t *testing.T) {
	const last = 12 << 10
	for _, n := range c.nodes {
		text, err := os.ReadFile(filepath.Join(c.dir, n.name+".log"))
		must.NoError(t, err)
		t.Logf("%s ends with:\n%s", n.name, text[max(0, len(text)-last):])
	}
}

// saveLogs keeps the nodes' logs of a seed that failed.
func (c *cluster) saveLogs(t *testing.T, seed uint64) {
	if *logFolder == "" {
		c.printLogs(t)
		return
	}
	for _, n := range c.nodes {
		text, err := os.ReadFile(filepath.Join(c.dir, n.name+".log"))
		must.NoError(t, err)
		must.NoError(t, os.WriteFile(filepath.Join(*logFolder, fmt.Sprintf("seed-%d-%s.log", seed, n.name)), text, 0o600))
	}
}
