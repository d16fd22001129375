package relay

import (
	"net/http"
	"strconv"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/model"
)

// answerWriter writes the answer to a request to its caller.
type answerWriter struct {
	Responder
	// status is the status that was sent, and framing how the answer is delimited; zero while it has not begun.
	status  int
	framing ending.Framing
}

// begin sends the status and the header of an answer that is delimited in the given way. It is called at most once.
func (w *answerWriter) begin(status int, header http.Header, framing ending.Framing) {
	w.status, w.framing = status, framing
	w.Begin(status, header, framing)
}

// begun reports whether the caller has got the beginning of an answer.
func (w *answerWriter) begun() bool {
	return w.status != 0
}

// writeWhole writes an answer all of which was read. It has a length only if its sender has stated its end.
func (w *answerWriter) writeWhole(reply *model.ForwardReply, body []byte, end ending.End) error {
	framing := end.ForWhole()
	if framing == ending.Length {
		reply.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.begin(reply.Status, reply.Header, framing)
	return w.Write(body)
}

// afterBeginning returns the outcome as the caller sees it. A refusal after the beginning of an answer breaks the answer off:
// its text would be taken for a part of the answer.
func (o Outcome) afterBeginning(w *answerWriter) Outcome {
	if !w.begun() {
		return o
	}
	o.Status = w.status
	if o.Refusal != nil {
		o.Cause, o.Refusal, o.Complete = o.Refusal, nil, false
	}
	if !o.Complete {
		o.End = ending.BrokenOff
	}
	return o
}
