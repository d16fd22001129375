package relay

import (
	"net/http"
)

// answerWriter writes the answer to a request to its caller.
type answerWriter struct {
	Responder
	// status is the status that was sent; 0 while the answer has not begun.
	status int
}

// Begin sends the status and the header. It is called at most once.
func (w *answerWriter) Begin(status int, header http.Header) {
	w.status = status
	w.Responder.Begin(status, header)
}

// begun reports whether the caller has got the beginning of an answer.
func (w *answerWriter) begun() bool {
	return w.status != 0
}

// withBegun returns the outcome with what its caller has got of the answer.
func (o Outcome) withBegun(w *answerWriter) Outcome {
	if w.begun() {
		o.Begun, o.Status = true, w.status
	}
	return o
}
