package scenario_test

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/sample"
	"basilstall.example/basilstall/standin"
)

// logTailBytes is how much of the end of a log is printed if a process exits with an unexpected code.
const logTailBytes = 6000

// cmdStandin starts the stand-in with a configuration file and sets $PLATFORM to its address: standin FILE.
func cmdStandin(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	p, err := f.start("standin", "standin", "--config", ts.MkAbs(args[0]))
	ts.Check(err)
	f.platformAddress = p.addresses[0]
	ts.Setenv("PLATFORM", f.platformAddress)
}

// cmdNode starts nodes: node NAMES DOMAINS [FLAGS...]. Both lists are separated by commas; domains repeat as needed. It
// sets $NAME_CALLERS, $NAME_OPERATORS and $NAME_PEERS to the addresses of each node.
func cmdNode(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	domains := strings.Split(args[1], ",")
	for i, name := range strings.Split(args[0], ",") {
		flags := []string{
			"serve", "--name", name, "--failure-domain", domains[i%len(domains)], "--platform", f.platformAddress,
			"--operators-token", operatorsToken, "--peers-token", peersToken,
		}
		callers, operators, peers := f.listenAddresses(name)
		flags = append(flags, "--callers-listen", callers, "--operators-listen", operators, "--peers-listen", peers)
		p, err := f.start(name, append(flags, args[2:]...)...)
		ts.Check(err)
		ts.Setenv(name+"_CALLERS", p.addresses[0])
		ts.Setenv(name+"_OPERATORS", p.addresses[1])
		ts.Setenv(name+"_PEERS", p.addresses[2])
	}
}

// listenAddresses returns the addresses on which a node listens: any ports on a host of its own at first, and the same
// addresses when it is started again, as on a replaced host.
func (f *fleet) listenAddresses(name string) (callers, operators, peers string) {
	if old := f.processes[name]; old != nil {
		return old.addresses[0], old.addresses[1], old.addresses[2]
	}
	anyPort := net.JoinHostPort(standin.NewLoopbackHost(), "0")
	return anyPort, anyPort, anyPort
}

// cmdSettled waits until all running nodes are ready and members of the newest era, and until that era has begun, so
// that all nodes take part in what follows.
func cmdSettled(ts *testscript.TestScript, _ bool, _ []string) {
	f := fleetOf(ts)
	ts.Check(waitFor(func() bool {
		nodes := f.nodes()
		for _, p := range nodes {
			s, err := f.status(p)
			if err != nil || !s.Ready || len(s.EraMembers) != len(nodes) || !s.EraFrom.Before(time.Now()) {
				return false
			}
		}
		return true
	}))
}

// cmdSignal sends a signal to processes: signal NAMES TERM|KILL|STOP|CONT.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	for _, name := range strings.Split(args[0], ",") {
		ts.Check(f.processes[name].cmd.Process.Signal(signals[args[1]]))
	}
}

// cmdExited waits until a process has exited and checks its exit code: exited NAME [CODE].
func cmdExited(ts *testscript.TestScript, _ bool, args []string) {
	p := fleetOf(ts).processes[args[0]]
	<-p.done
	if len(args) > 1 && strconv.Itoa(p.exitCode) != args[1] {
		log, _ := os.ReadFile(p.logPath)
		ts.Fatalf("%s exited with %d:\n%s", args[0], p.exitCode, log[max(0, len(log)-logTailBytes):])
	}
}

// cmdOccupy listens on the ports of an exited process, on 127.0.0.1, until the script ends: occupy NAME.
func cmdOccupy(ts *testscript.TestScript, _ bool, args []string) {
	for _, address := range fleetOf(ts).processes[args[0]].addresses {
		_, port, err := net.SplitHostPort(address)
		ts.Check(err)
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		ts.Check(err)
		ts.Defer(func() { _ = listener.Close() })
	}
}

// cmdFault injects a fault: fault TARGET KIND [Delay=1s] [Factor=10] [Count=3] [Times=1]. See standin.Fault for the
// targets and arguments.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	fault := standin.Fault{Target: args[0], Kind: standin.FaultKind(args[1])}
	var err error
	for _, arg := range args[2:] {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "Delay":
			fault.Delay, err = time.ParseDuration(value)
		case "Factor":
			fault.Factor, err = strconv.ParseFloat(value, 64)
		case "Count":
			fault.Count, err = strconv.Atoi(value)
		case "Times":
			fault.Times, err = strconv.Atoi(value)
		default:
			ts.Fatalf("unknown argument %s", arg)
		}
		ts.Check(err)
	}
	err = fleetOf(ts).setFault(fault)
	if fault.Target == "platform" {
		// The response comes over a connection that this fault has just made silent.
		return
	}
	ts.Check(err)
}

// cmdClear removes the faults of a target, or all faults: clear [TARGET].
func cmdClear(ts *testscript.TestScript, _ bool, args []string) {
	target := ""
	if len(args) > 0 {
		target = args[0]
	}
	ts.Check(fleetOf(ts).clearFaults(target))
}

// cmdLoad starts a load: load NAME PIPELINE [count=N] [workers=N] [keys=v7|v4] [fan] [tries=N]
// [tokens=N] [stream] [numbers] [pause=D] [via=NODES]. The arguments set the fields of loadPlan: keys sets keyForm, fan
// fanOut, tries maxAttempts, tokens maxTokens, and numbers numberAttempts. via sends to the named nodes only.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	plan := loadPlan{
		pipeline: args[1], token: sample.BilbaoToken, customer: sample.BilbaoCustomer,
		count: 100, workers: 8, maxAttempts: 1, maxTokens: 8,
	}
	addresses := f.callers
	var err error
	for _, arg := range args[2:] {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "count":
			plan.count, err = strconv.Atoi(value)
		case "workers":
			plan.workers, err = strconv.Atoi(value)
		case "tries":
			plan.maxAttempts, err = strconv.Atoi(value)
		case "tokens":
			plan.maxTokens, err = strconv.Atoi(value)
		case "pause":
			plan.pause, err = time.ParseDuration(value)
		case "keys":
			plan.keyForm = value
		case "fan":
			plan.fanOut = true
		case "stream":
			plan.stream = true
		case "numbers":
			plan.numberAttempts = true
		case "via":
			addresses = f.callersOf(strings.Split(value, ","))
		default:
			ts.Fatalf("unknown argument %s", arg)
		}
		ts.Check(err)
	}
	f.loads[args[0]] = startLoad(plan, addresses)
}

// cmdJoin waits until loads have ended: join NAME...
func cmdJoin(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		<-fleetOf(ts).loads[name].done
	}
}

// cmdReached waits until a load has finished N requests: reached NAME N.
func cmdReached(ts *testscript.TestScript, _ bool, args []string) {
	l := fleetOf(ts).loads[args[0]]
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	ts.Check(waitFor(func() bool { return l.ended.Load() >= int64(n) }))
}

// cmdExpect waits until a load has ended and checks one of its statistics: expect NAME STATISTIC OPERATOR NUMBER. The
// operator is ==, >= or <=.
func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	l := f.loads[args[0]]
	<-l.done
	got, err := f.statistic(l, args[1])
	ts.Check(err)
	want, err := strconv.ParseFloat(args[3], 64)
	ts.Check(err)
	ts.Logf("%s: %s is %g, want %s %s; reasons %v", args[0], args[1], got, args[2], args[3], l.reasonCounts())
	if !compareNumbers(got, args[2], want) {
		ts.Fatalf("%s: %s is %g, want %s %s; reasons %v", args[0], args[1], got, args[2], args[3], l.reasonCounts())
	}
}

func compareNumbers(got float64, operator string, want float64) bool {
	switch operator {
	case "==":
		return got == want
	case ">=":
		return got >= want
	case "<=":
		return got <= want
	default:
		return false
	}
}

// statistics holds the statistics of a load. Each function reports whether a request counts:
//
//	doubles   its idempotency key ran more than once
//	untrue    it ran although a refusal said that it had not
//	wrong     an answer differs from the expected one, or its stream had a gap or a repeat
//	cut       an attempt ended without an answer or refusal
//	missing   no attempt was answered
//	refused   an attempt was refused or cut
//	unknown   no attempt was answered, and it is not known of at least one of them whether it ran
var statistics = map[string]func(l *load, o *outcome, journal standin.JournalSummary) bool{
	"doubles": func(l *load, o *outcome, journal standin.JournalSummary) bool {
		return journal.Keys[l.plan.customer+"/"+o.key] > 1
	},
	"untrue": ranDespiteNotRun,
	"wrong": func(l *load, o *outcome, _ standin.JournalSummary) bool {
		return o.streamGaps || hasWrongAnswer(l, o)
	},
	"cut":     func(_ *load, o *outcome, _ standin.JournalSummary) bool { return o.cutAttempts > 0 },
	"missing": func(_ *load, o *outcome, _ standin.JournalSummary) bool { return !o.ran() },
	"refused": func(_ *load, o *outcome, _ standin.JournalSummary) bool { return o.refused() },
	"unknown": func(_ *load, o *outcome, _ standin.JournalSummary) bool {
		return !o.ran() && slices.Contains(o.verdicts, model.MayHaveRun)
	},
}

// statistic returns a statistic of a load, computed with the stand-in's journal: the number of requests that count, or
// their share if the name ends in -share. A name reason-REASON counts requests that got this reason at least once.
func (f *fleet) statistic(l *load, name string) (float64, error) {
	journal, err := f.journal()
	if err != nil {
		return 0, err
	}
	name, asShare := strings.CutSuffix(name, "-share")
	counts := statistics[name]
	if reason, ok := strings.CutPrefix(name, "reason-"); ok {
		counts = func(_ *load, o *outcome, _ standin.JournalSummary) bool {
			return slices.Contains(o.reasons, model.Reason(reason))
		}
	}
	if counts == nil {
		return 0, fmt.Errorf("unknown statistic %s", name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0.0
	for _, o := range l.outcomes {
		if counts(l, o, journal) {
			count++
		}
	}
	if asShare {
		count /= float64(len(l.outcomes))
	}
	return count, nil
}

// ranDespiteNotRun reports whether a request refused with the verdict NotRun reached an endpoint, or whether a key
// whose last verdict was NotRun has run.
func ranDespiteNotRun(l *load, o *outcome, journal standin.JournalSummary) bool {
	for _, id := range o.notRunIDs {
		if journal.Requests[id] > 0 {
			return true
		}
	}
	if o.key == "" || len(o.verdicts) == 0 {
		return false
	}
	last := o.verdicts[len(o.verdicts)-1]
	return last == model.NotRun && journal.Keys[l.plan.customer+"/"+o.key] > 0
}

// hasWrongAnswer reports whether an answer differs from the one that the stand-in's endpoints give to the request.
func hasWrongAnswer(l *load, o *outcome) bool {
	pipeline, ok := bilbaoPipeline(l.plan.pipeline)
	if !ok {
		return true
	}
	want := standin.ExpectedOutput(pipeline, model.Input{Text: o.text}, l.plan.maxTokens)
	for _, answer := range o.answers {
		if answer != want {
			return true
		}
	}
	return false
}

// reasonCounts returns how many attempts ended with each reason.
func (l *load) reasonCounts() map[model.Reason]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[model.Reason]int{}
	for _, o := range l.outcomes {
		for _, reason := range o.reasons {
			counts[reason]++
		}
	}
	return counts
}

// cmdAwait waits until all running nodes report a state of a member, a leaving endpoint or a settings revision, or until
// the sum of a metric over them reaches a minimum. A node is not asked for its own state.
//
//	await metric NAME MINIMUM    await state MEMBER STATE
//	await leaving ENDPOINT       await revision N
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	if args[0] == "metric" {
		minimum, err := strconv.ParseFloat(args[2], 64)
		ts.Check(err)
		ts.Check(waitFor(func() bool { return f.metricSum(args[1]) >= minimum }))
		return
	}
	ts.Check(waitFor(func() bool {
		for _, p := range f.nodes() {
			if !f.nodeReports(p, args) {
				return false
			}
		}
		return true
	}))
}

// nodeReports reports whether a node reports what the arguments of the command await name.
func (f *fleet) nodeReports(p *process, args []string) bool {
	switch args[0] {
	case "state":
		if p.name == args[1] {
			return true
		}
		s, err := f.status(p)
		if err != nil {
			return false
		}
		return slices.ContainsFunc(s.Members, func(m memberStatus) bool { return m.Node == args[1] && m.State == args[2] })
	case "leaving":
		endpoints, err := f.endpoints(p)
		if err != nil {
			return false
		}
		return slices.ContainsFunc(endpoints, func(e endpointStatus) bool {
			return e.Endpoint.Name == args[1] && e.Endpoint.State == model.Leaving
		})
	case "revision":
		s, err := f.status(p)
		return err == nil && strconv.FormatUint(s.Revision, 10) == args[1]
	default:
		return false
	}
}

// metricSum returns the sum of a metric over all running nodes. The name includes the labels.
func (f *fleet) metricSum(name string) float64 {
	sum := 0.0
	for _, p := range f.nodes() {
		for line := range strings.Lines(f.metrics(p)) {
			rest, ok := strings.CutPrefix(line, name+" ")
			if !ok {
				continue
			}
			value, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			if err == nil {
				sum += value
			}
		}
	}
	return sum
}

// cmdMark records how many runs endpoints have had, for the command quiet: mark ENDPOINT...
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	for _, endpoint := range args {
		f.markedRuns[endpoint] = f.runCount(ts, endpoint)
	}
}

// cmdQuiet checks that endpoints have had no runs since the command mark: quiet ENDPOINT... With ! before it, it checks
// that each has had some.
func cmdQuiet(ts *testscript.TestScript, neg bool, args []string) {
	f := fleetOf(ts)
	for _, endpoint := range args {
		count := f.runCount(ts, endpoint)
		if (count == f.markedRuns[endpoint]) == neg {
			ts.Fatalf("%s has had %d runs, %d at mark", endpoint, count, f.markedRuns[endpoint])
		}
	}
}

// runCount returns the number of runs of an endpoint in the stand-in's journal.
func (f *fleet) runCount(ts *testscript.TestScript, endpoint string) int {
	var runs []standin.Run
	ts.Check(f.platformGet("/journal/runs", &runs))
	n := 0
	for _, run := range runs {
		if run.Endpoint == endpoint {
			n++
		}
	}
	return n
}

// cmdChange applies COUNT changes to one document, one after another. For each, RACERS operators submit changes
// concurrently, through different nodes. It checks that exactly one of them is applied as each revision and that each
// revision comes into force on all nodes: change COUNT RACERS.
func cmdChange(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	racers, err := strconv.Atoi(args[1])
	ts.Check(err)
	longest, err := f.raceChanges(count, racers)
	ts.Check(err)
	ts.Logf("%d changes by %d concurrent operators; longest time until in force on all nodes: %s", count, racers, longest)
}
