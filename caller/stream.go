package caller

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"basilstall.example/basilstall/model"
)

// The events of a stream. A stream that ends without Answer or Refusal was cut.
const (
	EventToken   = "Token"
	EventAnswer  = "Answer"
	EventRefusal = "Refusal"
)

// eventWriter writes numbered server-sent events. The answer begins with the first event, so
// that a request that is refused before any token gets a plain refusal.
type eventWriter struct {
	response *echo.Response
	number   int
}

func (w *eventWriter) write(event string, data any) {
	if w.number == 0 {
		w.response.Header().Set("Content-Type", "text/event-stream")
		w.response.Header().Set("Cache-Control", "no-store")
		w.response.WriteHeader(http.StatusOK)
	}
	body, err := json.Marshal(data)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w.response, "id: %d\nevent: %s\ndata: %s\n\n", w.number, event, body)
	w.response.Flush()
	w.number++
}

func (s *Server) answerStream(c echo.Context, p parsed) error {
	w := &eventWriter{response: c.Response()}
	emit := func(t model.Token) {
		w.write(EventToken, TokenBody(t))
	}
	answer, refusal := s.seams.Serve(c.Request().Context(), p.request, p.pipeline, emit)
	if refusal != nil && w.number == 0 {
		return s.refuse(c, p.request.ID, refusal)
	}
	if refusal != nil {
		s.seams.Refused(refusal)
		w.write(EventRefusal, newRefusalBody(p.request.ID, refusal))
		return nil
	}
	w.write(EventAnswer, newAnswerBody(p.request.ID, answer))
	return nil
}
