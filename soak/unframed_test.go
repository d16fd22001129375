package soak_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"basilstall.example/basilstall/platform/standin"
	links "basilstall.example/basilstall/standin"
)

const (
	// unframedAnswers is the kind of fault with which some endpoints send all their answers with neither a length nor chunks.
	unframedAnswers = "unframed answers"
	// slowStreamPause is the time between two events of an endpoint whose process is about to end: a stream then takes longer
	// than nodes need to learn that an entry was removed.
	slowStreamPause = 300 * time.Millisecond
	// maxLeavingTime is how long a process may run on once its entry was removed or announces its end, and listenerDelay how
	// long something listens at the address of one whose connections are closed.
	maxLeavingTime = 1200 * time.Millisecond
	listenerDelay  = 30 * time.Millisecond
)

// The ways in which the process of an endpoint ends.
const (
	connectionsReset   processEnd = "connections reset"
	listenerFirst      processEnd = "listener closed first"
	connectionsFirst   processEnd = "connections closed first"
	addressReused      processEnd = "address reused"
	entryRemovedBefore processEnd = "entry removed before"
	leavingBefore      processEnd = "leaving before"
)

var processEnds = []processEnd{connectionsReset, listenerFirst, connectionsFirst, addressReused, entryRemovedBefore, leavingBefore}

type processEnd string

// randomUnframed returns a way to send one answer of a few, or all, with neither a length nor chunks.
func randomUnframed(random *rand.Rand) standin.Unframed {
	return standin.Unframed{Every: 1 + random.IntN(3), HTTP10: random.IntN(2) == 0}
}

// usualFraming returns how an endpoint sends its answers while no fault changes it: one of three sends unframed ones, if
// such faults are among those of the run.
func (c *cluster) usualFraming(e *endpoint) standin.Unframed {
	name := fnv.New64()
	_, _ = name.Write([]byte(e.Name))
	random := rand.New(rand.NewPCG(c.seed, name.Sum64()))
	if !c.unframed || random.IntN(3) > 0 {
		return standin.Unframed{}
	}
	return randomUnframed(random)
}

// randomAnswering returns a listed endpoint whose answers go to callers; nil if there is none.
func (c *cluster) randomAnswering(random *rand.Rand) *endpoint {
	listed := c.listedEndpoints([]string{"plain", "engines"}[random.IntN(2)])
	slices.SortFunc(listed, func(a, b *endpoint) int { return strings.Compare(a.Name, b.Name) })
	choice := random.IntN(1 << 16)
	if len(listed) == 0 {
		return nil
	}
	return listed[choice%len(listed)]
}

// answerUnframed makes an endpoint send answers with neither a length nor chunks, and sometimes close them early.
func answerUnframed(c *cluster, random *rand.Rand, duration time.Duration) {
	e := c.randomAnswering(random)
	u := randomUnframed(random)
	if random.IntN(4) > 0 {
		u.Parts, u.Within = 1+random.IntN(streamEvents-1), random.IntN(2) == 0
	}
	if e == nil {
		return
	}
	e.SetUnframed(u)
	time.Sleep(duration)
	e.SetUnframed(c.usualFraming(e))
}

// endUnframed makes an endpoint send answers with neither a length nor chunks, ends its process while some are under way, and
// replaces it.
func endUnframed(c *cluster, random *rand.Rand, duration time.Duration) {
	e := c.randomAnswering(random)
	way := processEnds[random.IntN(len(processEnds))]
	leavingTime := time.Duration(random.Float64() * float64(maxLeavingTime))
	if e == nil {
		return
	}
	e.SetUnframed(standin.Unframed{Every: 1, HTTP10: random.IntN(2) == 0})
	e.SetPace(streamEvents, slowStreamPause)
	time.Sleep(duration)
	c.mu.Lock()
	ended := !e.unlistedAt.IsZero()
	if !ended {
		e.unlistedAt = time.Now()
	}
	c.mu.Unlock()
	if ended {
		return
	}
	switch way {
	case entryRemovedBefore:
		c.store.RemoveEndpoint(e.Name)
		time.Sleep(leavingTime)
	case leavingBefore:
		c.writeEntry(e, true)
		time.Sleep(leavingTime)
	}
	c.endProcess(e, way)
}

// endProcess ends the process of an endpoint and starts its replacement.
func (c *cluster) endProcess(e *endpoint, way processEnd) {
	c.mu.Lock()
	c.endedProcesses = append(c.endedProcesses, fmt.Sprintf("%s %s: %s", time.Now().Format(time.StampMilli), e.Name, way))
	c.mu.Unlock()
	switch way {
	case addressReused:
		c.store.RemoveEndpoint(e.Name)
		c.mu.Lock()
		c.sequence++
		name := fmt.Sprintf("%s-%d", e.pool, c.sequence+100)
		c.mu.Unlock()
		c.startEndpointBehind(e.proxy, e.domain, name, e.pool)
		e.Disconnect()
		return
	case connectionsReset:
	case connectionsFirst:
		e.proxy.setFault(linkBlockedToServer)
		e.Disconnect()
		time.Sleep(listenerDelay)
	default:
		c.links.setMatching("", "/"+e.proxy.address(), links.LinkClosed)
		e.Disconnect()
		time.Sleep(listenerDelay)
	}
	c.endAddress(e)
	e.Disconnect()
	c.replaceEnded(e)
}

// whole reports whether the caller received all of an answer of success, which may state no end.
func (s *sentRequest) whole() bool {
	return s.Status == http.StatusOK && (s.Complete || s.Ended && unsigned(s.Answer.Body) == expectedBody(s))
}

// endStated reports whether an endpoint may have stated the end of an answer: the one that signed it, or any that a stream
// went on at.
func endStated(s *sentRequest, runs []endpointRun) bool {
	for _, r := range runs {
		if !r.run.Unframed && (s.Stream || s.Signature == r.run.Signature()) {
			return true
		}
	}
	return false
}

// knownBrokenOff reports whether the node knew that an answer was broken off, as no endpoint ended it without a statement, and
// lived on to tell its caller.
func (c *cluster) knownBrokenOff(s *sentRequest, runs []endpointRun) bool {
	unframed := slices.ContainsFunc(runs, func(r endpointRun) bool { return r.run.Unframed })
	return !unframed && !c.disturbedBetween(s.nodeName, s.sentAt.Add(-gracePeriod), s.endedAt)
}

// checkUnframedServed checks that whole answers with neither a length nor chunks are served once all faults have ended, as many
// as of any other answers.
func (c *cluster) checkUnframedServed(cs *callers) {
	if !c.unframed {
		return
	}
	for _, pool := range []string{"plain", "engines"} {
		for i, e := range c.listedEndpoints(pool) {
			e.SetUnframed(standin.Unframed{Every: 1, HTTP10: i%2 == 0})
		}
	}
	c.checkRecovery(cs, "unframed", recoveryTimeout, "post", "res")
}
