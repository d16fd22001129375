package relay

import (
	"net/http"

	"basilstall.example/basilstall/model"
)

// The kinds of replies of endpoints.
const (
	// answerReply is an answer for the caller, which may say that the request is at fault.
	answerReply replyKind = iota
	// refusalReply states that the request has not run and will not run.
	refusalReply
	// failureReply is a failure of the endpoint, after which a request that may be repeated is sent to another one. It is for
	// the caller if that is not possible.
	failureReply
	// invalidReply may never reach the caller: a success or a failure that the endpoint did not sign, or a status that promises
	// that the request has not run where the endpoint does not state it.
	invalidReply
)

// replyKind is what a reply of an endpoint is, for requests of all kinds.
type replyKind int

// kindOfReply returns what a reply to a request of the given kind is. Of a stream, an unsigned failure is invalid too.
func kindOfReply(reply *model.ForwardReply, kind model.RouteKind) replyKind {
	switch {
	case reply.NotRun:
		return refusalReply
	case reply.ClaimsNotRun():
		return invalidReply
	case !reply.Authentic && (kind == model.Stream || reply.Status < http.StatusMultipleChoices || reply.Status >= http.StatusInternalServerError):
		return invalidReply
	case reply.Status >= http.StatusInternalServerError, kind == model.Stream && reply.Status != http.StatusOK:
		return failureReply
	default:
		return answerReply
	}
}
