package relay

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/placement"
)

// ask asks the placers of the group in turn, until one replies, for placeTimeout in total.
func (a *placedAttempt) ask(ctx context.Context) {
	r := a.placing.relay
	callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	for _, node := range a.placing.placers(a.group) {
		if a.placing.paused(node) {
			return
		}
		a.message.Reports = a.placing.take(a.group, node)
		var reply peer.PlaceReply
		var err error
		if node == r.options.Name {
			reply = r.placers.place(a.message)
		} else {
			reply, err = r.callPlacer(callCtx, node, a.message)
		}
		if err == nil && !reply.Leaving {
			a.placer, a.incarnations = node, reply.Incarnations
			if len(reply.Expected) > 0 {
				a.expected = reply.Expected[0]
			}
			a.domain = reply.Domain
			return
		}
		a.placing.giveBack(a.group, a.message.Reports)
		if ctx.Err() != nil {
			// The request has ended. The placer is not at fault.
			return
		}
		if err != nil {
			r.metrics.CountEvent("PlacementUnanswered")
		}
		if callCtx.Err() != nil || isTimeout(err) {
			a.placing.pause(node)
			return
		}
		if err != nil {
			r.Suspect(node, err)
		}
	}
}

// isTimeout reports whether a call failed because its time was over. The dialer reports this before the context is done.
func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// callPlacer asks another node for a placement. It returns at the latest when ctx ends: a call may wait longer than that for
// a connection that another call opens.
func (r *Relay) callPlacer(ctx context.Context, node string, message peer.Place) (peer.PlaceReply, error) {
	type result struct {
		reply peer.PlaceReply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		var out result
		out.err = r.peers.Call(ctx, r.addressOf(node), peer.KindPlace, message, &out.reply)
		done <- out
	}()
	select {
	case out := <-done:
		return out.reply, out.err
	case <-ctx.Done():
		return peer.PlaceReply{}, ctx.Err()
	}
}

// choose chooses the first engine of the placement that the rules of this node allow, or else one as without a placer.
func (a *placedAttempt) choose(now time.Time, p *pool, limits sendLimits, allowed []model.Endpoint, j *job) (choice, bool) {
	if a != nil && len(a.incarnations) > 0 {
		if c, ok := p.pickPlaced(now, allowed, limits, j.forward.Prompt, j.excluded, a.incarnations); ok {
			return c, true
		}
		j.relay.metrics.CountEvent("PlacementOverruled")
		j.placer = ""
	}
	return p.pickEngine(now, allowed, limits, j.forward.Prompt, j.affinityKey(), j.excluded)
}

// recordSent records the engine that the request is sent to.
func (a *placedAttempt) recordSent(e model.Endpoint) {
	if a == nil {
		return
	}
	a.sentTo = e.Incarnation()
	a.placing.hold(a.group, peer.PlaceReport{Kind: uint8(placement.Held), Incarnation: a.sentTo, PartKeys: a.message.PartKeys, PartTokens: a.message.PartTokens})
	if len(a.incarnations) > 0 && a.incarnations[0] == a.sentTo {
		a.placing.relay.metrics.CountEvent("PlacedByPlacer")
		return
	}
	a.report(peer.PlaceReport{Kind: uint8(placement.Sent)})
}

// recordFirstEvent records the first event, after the time elapsed since the request was sent, and the load that the
// engine reported; nil if it reported none.
func (a *placedAttempt) recordFirstEvent(elapsed time.Duration, load *peer.PlaceLoad) {
	if a == nil || a.firstSeen {
		return
	}
	a.firstSeen = true
	a.report(peer.PlaceReport{Kind: uint8(placement.FirstEvent), Elapsed: elapsed, Load: load})
}

// end records that the attempt has ended, or was not made.
func (a *placedAttempt) end(load *peer.PlaceLoad) {
	switch {
	case a == nil:
	case a.firstSeen:
		a.report(peer.PlaceReport{Kind: uint8(placement.Ended)})
	default:
		a.report(peer.PlaceReport{Kind: uint8(placement.Failed), Load: load})
	}
}

func (a *placedAttempt) report(report peer.PlaceReport) {
	report.Number, report.Incarnation = a.message.Number, a.sentTo
	a.placing.add(a.group, report)
}
