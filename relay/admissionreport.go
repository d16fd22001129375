package relay

import (
	"context"
	"slices"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/peer"
)

// report sends what an admitter is to be told until no request is open there.
func (a *admissions) report(link *admitterLink) {
	for clock.Sleep(a.relay.ctx, admitEndInterval) {
		message, due, done := a.nextReport(link)
		if done {
			return
		}
		if due && !a.sendReport(link, message) {
			a.drop(link)
			return
		}
	}
}

// nextReport returns the next message to an admitter. due is false if it need not be sent yet, done is true if there is
// nothing more to tell and the link is closed.
func (a *admissions) nextReport(link *admitterLink) (message peer.AdmitEnd, due, done bool) {
	now := a.relay.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(link.open) == 0 && len(link.ended) == 0 {
		delete(a.pools[link.pool].links, link.node)
		return peer.AdmitEnd{}, false, true
	}
	message = peer.AdmitEnd{Pool: link.pool, Node: a.node, Ended: link.ended, Last: a.lastNumber}
	if now.Sub(link.reportedAt) >= admitOpenInterval {
		message.Complete = true
		link.reportedAt = now
		for number := range link.open {
			message.Open = append(message.Open, number)
		}
		slices.Sort(message.Open)
	}
	unheard := now.Sub(link.heardAt) >= admitEndInterval && link.hasWaiting()
	due = unheard || message.Complete || len(message.Ended) > 0
	if due {
		link.ended = nil
	}
	return message, due, false
}

func (l *admitterLink) hasWaiting() bool {
	for _, ticket := range l.open {
		if ticket.waiting {
			return true
		}
	}
	return false
}

// sendReport sends a message to an admitter. If the reply takes longer than admitReplyTimeout, the requests that wait there
// are sent without it, and the admitter is not asked until it replies. It returns false if there was no reply.
func (a *admissions) sendReport(link *admitterLink, message peer.AdmitEnd) bool {
	// Stopping the timer does not wait for a call of silence that has begun. a.mu guards answered.
	answered := false
	late := time.AfterFunc(admitReplyTimeout, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if !answered {
			a.silence(link)
		}
	})
	defer late.Stop()
	ctx, cancel := context.WithTimeout(a.relay.ctx, 2*peerSilenceTimeout)
	defer cancel()
	var reply peer.AdmitEndReply
	if a.relay.callNode(ctx, link.node, peer.KindAdmitEnd, message, &reply) != nil {
		return false
	}
	a.mu.Lock()
	answered = true
	link.silentSince = time.Time{}
	link.heardAt = a.relay.now()
	a.mu.Unlock()
	a.extend(link.pool, reply.AskFor)
	return true
}

// silence records that an admitter does not answer: the requests that wait there are sent without it. The caller holds a.mu.
func (a *admissions) silence(link *admitterLink) {
	if link.silentSince.IsZero() {
		link.silentSince = a.relay.now()
		a.relay.metrics.CountEvent("AdmitterSilent")
	}
	for _, ticket := range link.open {
		if ticket.waiting {
			ticket.waiting = false
			close(ticket.silent)
		}
	}
}

// drop closes the link to an admitter that is lost. If it still runs, it frees the slots of this node once it has heard nothing from it for some time.
func (a *admissions) drop(link *admitterLink) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silence(link)
	p := a.pools[link.pool]
	delete(p.links, link.node)
	p.nodesAt = time.Time{}
}
