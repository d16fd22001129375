package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
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
	firstSeed  = flag.Uint64("first", 1, "the first of the further seeds")
	seedCount  = flag.Int("seeds", 0, "how many further seeds to run; 0 runs only the kept seeds")
	faultTime  = flag.Duration("for", 6*time.Second, "how long faults are injected for each further seed")
	onlyFaults = flag.String("only", "", "the kinds of faults for further seeds, separated by commas; empty for all")
	nodeCount  = flag.Int("nodes", 4, "how many nodes to run")
	logFolder  = flag.String("logs", "", "folder to which the nodes' logs of failed seeds are written")
)

// seed1Faults are the kinds of faults from which seed 1 drew when it failed.
const seed1Faults = "kill,terminate,pause,reload,store fails,store compacts,store link,node link,reader cut off," +
	"endpoint fails,endpoint link,endpoint leaves,endpoint starts again,foreign entries,routing changes,routes added," +
	"key taken away,key taken away behind a cut,store away"

// poisonSeedFaults are the kinds of faults of the seeds with poison requests and without evacuations.
const poisonSeedFaults = seed1Faults + ",poison requests"

// earlierFaults are the kinds of faults from which seeds drew that had all there were.
const earlierFaults = poisonSeedFaults + ",endpoints cut off,refusal caps,endpoints stall,evacuation,cold endpoint,rate cap," +
	"leaving answers,refusals with pause"

// unframedSeedFaults are kinds of faults that overlap with unframed answers.
const unframedSeedFaults = unframedAnswers + ",unframed answers and ends,kill,terminate,pause,node link,store fails,endpoint starts again," +
	"endpoints stall"

// keptSeeds are run each time. The cause is the failure that a seed once found. Seeds without one cover a combination
// of faults.
var keptSeeds = []struct {
	seed uint64
	// only lists the kinds of faults, separated by commas; empty for all.
	only     string
	duration time.Duration
	cause    string
}{
	{1, seed1Faults, 6 * time.Second, "no node served after the faults, once, on a busy machine"},
	{2, poisonSeedFaults, 6 * time.Second, "none: a short run of these kinds of faults"},
	{3, "evacuation,cold endpoint,kill,terminate,pause,store fails,store compacts,reader cut off", 6 * time.Second, "none: evacuations and cold endpoints during faults of nodes and the store"},
	{4, "rate cap,kill,terminate,pause,store fails,reader cut off", 12 * time.Second, "none: endpoints that state rate caps during faults of nodes and the store"},
	{100, "rate cap,store fails,store compacts", 10 * time.Second, "none: rate caps of engines, services and workers, without faults of nodes"},
	{5, "leaving answers,refusals with pause,kill,terminate,pause,store fails,store away", 10 * time.Second, "none: endpoints that state that they leave, or want a pause, during faults of nodes and the store"},
	{6, "endpoints cut off,endpoints stall,kill,terminate,pause,store fails,reader cut off", 10 * time.Second, "none: nodes that reach no endpoint during faults of nodes and the store"},
	{7, "refusal caps,endpoints stall,store fails,store compacts", 12 * time.Second, "none: endpoints that state refusal caps, without faults of nodes"},
	{8, "poison parts,preferred node,kill,terminate,pause,store fails,reader cut off", 10 * time.Second, "none: parts of prompts that crash engines, and nodes that get nearly all requests, during faults of nodes and the store"},
	{9, "contention,flood,kill,terminate,pause,store fails,reader cut off", 10 * time.Second, "none: endpoints that state contentions and limit their slots, and floods, during faults of nodes and the store"},
	{12, unframedSeedFaults, 10 * time.Second, "an answer without a stated end reached callers as a whole one, also where it was broken off"},
	{18, unframedSeedFaults, 10 * time.Second, "the same"},
	{74019, poisonSeedFaults, 10 * time.Second, "two poison requests at one crash: it counts against only one of them, and the other needs a further crash"},
	{690000, "removal behind a cut,endpoint leaves,store fails,kill,pause", 10 * time.Second, "none: endpoints that are removed while most nodes are cut off from the store"},
	{4015, "reader cut off,endpoint leaves", 12 * time.Second, "an endpoint that was listed and removed between two reads of the list stayed in use"},
	{120001, earlierFaults, 10 * time.Second, "a stream that another node passed on looked complete as that node was killed between two events"},
	{120034, earlierFaults, 10 * time.Second, "the same"},
	{9005, "routes added,routing changes,kill,store link", 12 * time.Second, "a node received every version of a large routing that it had missed, more than it reads at once"},
}

const (
	// faultsPerSecond is the mean number of faults that begin per second. Each is given a duration of up to
	// maxFaultDuration; some kinds last longer by a fixed time.
	faultsPerSecond  = 2.0
	maxFaultDuration = 2500 * time.Millisecond
	callerCount      = 6
	// recoveryTimeout is the time within which all nodes must serve again once all faults have ended.
	recoveryTimeout = 30 * time.Second
)

func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "testnode")
	out, err := exec.Command("go", "build", "-o", binary, "basilstall.example/basilstall/soak/testnode").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	for _, kept := range keptSeeds {
		t.Run(fmt.Sprint("seed-", kept.seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, binary, kept.seed, kept.only, kept.duration)
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

// runSeed runs nodes and callers, injects the faults of one seed and checks the guarantees. The same seed gives the same
// faults at the same times, as far as the scheduling of processes allows.
func runSeed(t *testing.T, binary string, seed uint64, only string, duration time.Duration) {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := selectFaults(only)
	c := &cluster{
		seed: seed, unframed: slices.ContainsFunc(kinds, func(f fault) bool { return f.name == unframedAnswers }),
		dir: t.TempDir(), binary: binary, store: standin.NewStore(), links: newEndpointLinks(),
		endpoints: map[string]*endpoint{}, apiKeys: []string{validKey}, revokedAPIKeys: map[string]time.Time{}, evacuations: map[string][]period{},
	}
	defer c.close()
	c.linkServer = httptest.NewServer(c.links.handler(c.poolAt))
	c.store.SetRewrite(c.replaceNodeAddress)
	for pool, count := range map[string]int{"plain": 3, "engines": 4, "workers": 2} {
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
		callerRandom := rand.New(rand.NewPCG(seed, uint64(i+1)))
		calling.Go(func() { cs.run(ctx, callerRandom, fmt.Sprintf("caller-%d", i)) })
	}
	injected := inject(c, random, kinds, duration)
	cancel()
	calling.Wait()
	c.checkRecovery(cs, "after", recoveryTimeout)
	c.checkPoison(cs)
	c.checkPoisonParts(cs)
	c.checkRecovery(cs, "beside", recoveryTimeout)
	c.checkTakenUp(cs)
	c.checkUnframedServed(cs)
	c.check(cs)
	t.Logf("seed %d: %d requests, faults %v, ended processes %q", seed, len(cs.requests), injected, c.endedProcesses)
	if len(c.violations) > 0 {
		c.saveLogs(t, seed)
	}
	for _, violation := range c.violations[:min(len(c.violations), 10)] {
		t.Errorf("seed %d: %s", seed, violation)
	}
}

// selectFaults returns the kinds of faults whose names are listed, separated by commas; all if names is empty.
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

// inject starts faults at random times for a duration, waits until all have ended and returns the count of each kind.
func inject(c *cluster, random *rand.Rand, faults []fault, duration time.Duration) map[string]int {
	counts := map[string]int{}
	var running sync.WaitGroup
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); {
		f := faults[random.IntN(len(faults))]
		faultDuration := time.Duration(random.Float64() * float64(maxFaultDuration))
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		pause := time.Duration(random.ExpFloat64() / faultsPerSecond * float64(time.Second))
		counts[f.name]++
		running.Go(func() { f.inject(c, faultRandom, faultDuration) })
		time.Sleep(pause)
	}
	running.Wait()
	return counts
}

// printLogs prints the ends of the nodes' logs.
func (c *cluster) printLogs(t *testing.T) {
	const tailBytes = 12 << 10
	for _, n := range c.nodes {
		text, err := os.ReadFile(filepath.Join(c.dir, n.name+".log"))
		must.NoError(t, err)
		t.Logf("%s ends with:\n%s", n.name, text[max(0, len(text)-tailBytes):])
	}
}

// saveLogs writes the violations and the nodes' logs of a failed seed to the folder given by -logs, or prints the ends of the logs
// if it is not set.
func (c *cluster) saveLogs(t *testing.T, seed uint64) {
	if *logFolder == "" {
		c.printLogs(t)
		return
	}
	violations := filepath.Join(*logFolder, fmt.Sprintf("seed-%d-violations.txt", seed))
	must.NoError(t, os.WriteFile(violations, []byte(strings.Join(c.violations, "\n")+"\n"), 0o600))
	for _, n := range c.nodes {
		text, err := os.ReadFile(filepath.Join(c.dir, n.name+".log"))
		must.NoError(t, err)
		must.NoError(t, os.WriteFile(filepath.Join(*logFolder, fmt.Sprintf("seed-%d-%s.log", seed, n.name)), text, 0o600))
	}
}
