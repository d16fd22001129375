package relay

import (
	"context"
	"net/http"
	"time"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/share"
)

// awaitAdmission asks the admitter of an overloaded pool whether the request may be sent, and waits for that. It returns
// the outcome if the request is refused. Without an answer, the request is sent as in a pool that is not overloaded.
func (j *job) awaitAdmission(ctx context.Context, p *pool) *Outcome {
	r := j.relay
	if j.sendsThroughNode(p) {
		return nil
	}
	ticket := r.admissions.openTicket(p.name)
	if ticket == nil {
		return nil
	}
	reply, ok := ticket.ask(ctx, j.admitMessage(ticket))
	if ctx.Err() != nil {
		if ok {
			ticket.close(peer.AdmitEnded{Result: share.GateUnsent})
		}
		outcome := j.refuseContextDone(ctx)
		return &outcome
	}
	if !ok {
		r.metrics.CountEvent("AdmitterNotUsed")
		return nil
	}
	r.admissions.extend(p.name, reply.AskFor)
	if reply.State == share.GateRefused {
		return j.refuseOverShare(reply)
	}
	j.ticket, j.assigned = ticket, reply.Incarnation
	return nil
}

// admitMessage returns the message that asks an admitter for the request.
func (j *job) admitMessage(ticket *admissionTicket) peer.Admit {
	r := j.relay
	r.metrics.CountEvent("AdmitterAsked")
	now := r.now()
	return peer.Admit{
		Pool: ticket.pool, Node: r.admissions.node, Number: ticket.number, Request: j.forward.ID, Customer: j.admission.Customer, Rank: j.admission.Rank,
		DueIn: gateObjective(j.forward, j.admission).Sub(now), DeadlineIn: j.admission.Deadline.Sub(now),
		Work: r.admissions.expectedWork(ticket.pool, j.admission.Route.Name),
	}
}

// askForHedge asks the admitter for a slot at a second endpoint, if the first one was admitted: in an overloaded pool, a
// second attempt without a slot would take that of another request. The slot goes to slots unless the request ends first.
// It returns false if the admitter need not be asked.
func (j *job) askForHedge(ctx context.Context, p *pool, slots chan<- hedgeSlot) bool {
	if j.ticket == nil || !j.mayHedge(p) {
		return false
	}
	ticket := j.relay.admissions.openTicket(p.name)
	if ticket == nil {
		return false
	}
	message := j.admitMessage(ticket)
	go func() {
		reply, ok := ticket.ask(ctx, message)
		if !ok || reply.State == share.GateRefused {
			return
		}
		select {
		case slots <- hedgeSlot{ticket: ticket, incarnation: reply.Incarnation}:
		case <-ctx.Done():
			ticket.close(peer.AdmitEnded{Result: share.GateUnsent})
		}
	}()
	return true
}

// refuseOverShare refuses a request that its customer's share cannot serve in time.
func (j *job) refuseOverShare(reply peer.AdmitReply) *Outcome {
	reason, detail := model.Overloaded, "pool "+j.admission.Pool+" has no slot in time"
	if reply.Over {
		reason, detail = model.OverShare, "the customer asks for more than its share of pool "+j.admission.Pool
	}
	outcome := j.refuse(j.verdict(), reason, detail)
	if outcome.Refusal.Verdict == model.NotRun {
		outcome.Refusal.RetryAfter = kernel.ClampRetryAfter(reply.RetryAfter)
	}
	outcome.Share = &ShareFinding{Share: reply.Share, Use: reply.Use, Over: reply.Over}
	return &outcome
}

// recordAdmitted records the result of one attempt at an endpoint, for the admitter and as a sign of overload.
func (j *job) recordAdmitted(p *pool, res *unaryResult) {
	r := j.relay
	if !r.dividesCapacity(p.name) {
		return
	}
	switch {
	case res.err != nil:
		if j.ticket != nil && asFault(res.err).Kind == endpoint.Refused {
			j.ticket.tell(peer.AdmitEnded{Result: share.GateUnreachable, Incarnation: res.endpoint.Incarnation()})
		}
	case res.reply.Misdirected:
	case res.reply.NotRun:
		r.admissions.extend(p.name, overloadMemory)
		if j.ticket != nil {
			j.ticket.tell(admitEnded(share.GateNoRoom, res))
		}
	default:
		j.answered = admitEnded(share.GateServed, res)
		if res.reply.Status < http.StatusInternalServerError {
			maxQueued := 0
			if j.ticket != nil {
				maxQueued = 1
			}
			r.admissions.recordAnswer(p.name, j.admission.Route.Name, r.now().Sub(res.sentAt), res.reply.Statement.Load, maxQueued)
		}
	}
}

// admitEnded returns what the answer of an endpoint tells the admitter.
func admitEnded(result share.GateResult, res *unaryResult) peer.AdmitEnded {
	ended := peer.AdmitEnded{Result: result, Incarnation: res.endpoint.Incarnation()}
	if load := res.reply.Statement.Load; load != nil {
		ended.Slots, ended.Load = load.Slots, load.Running+load.Queued
	}
	return ended
}

// endAdmission tells the admitter that the request has ended.
func (j *job) endAdmission() {
	j.endHedge()
	if j.ticket == nil {
		return
	}
	ended := j.answered
	if ended.Incarnation == "" {
		ended.Result = share.GateUnsent
	}
	j.ticket.close(ended)
}

// endHedge tells the admitter that the attempt at the second endpoint has ended, or was not started, with the answer of that
// endpoint if it is the last one.
func (j *job) endHedge() {
	if j.hedgeTicket == nil {
		return
	}
	ended := peer.AdmitEnded{Result: share.GateUnsent}
	if j.hedgeEndpoint != "" && j.answered.Incarnation == j.hedgeEndpoint {
		ended, j.answered = j.answered, peer.AdmitEnded{}
	}
	j.hedgeTicket.close(ended)
	j.hedgeTicket, j.hedgeEndpoint = nil, ""
}

// pickUnary chooses an endpoint for one attempt: the one that the admitter has assigned if this node may send to it, or else
// by load.
func (j *job) pickUnary(now time.Time, p *pool, limits sendLimits) (choice, bool) {
	listed := j.allowedEndpoints()
	if assigned := j.assigned; assigned != "" {
		j.assigned = ""
		if c, ok := p.pickAssigned(now, listed, limits, assigned, j.excluded); ok {
			return c, true
		}
	}
	return p.pick(now, listed, limits, j.relay.options.Domain, j.excluded, j.relay.statesContention(p.name))
}
