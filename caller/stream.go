package caller

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"basilstall.example/basilstall/connlimit"
	"basilstall.example/basilstall/model"
)

// The events of a stream. A stream that ends without Answer or Refusal is incomplete.
const (
	EventToken   = "Token"
	EventAnswer  = "Answer"
	EventRefusal = "Refusal"
)

// eventWriter writes server-sent events with consecutive IDs. The response header is written with the first event, so
// that a request that is refused before any token gets a refusal with its own status code instead of a stream.
type eventWriter struct {
	response *echo.Response
	// request counts the events that are being written.
	request *connlimit.Request
	nextID  int
}

func (w *eventWriter) write(event string, data any) {
	if w.nextID == 0 {
		w.response.Header().Set("Content-Type", "text/event-stream")
		w.response.Header().Set("Cache-Control", "no-store")
		w.response.WriteHeader(http.StatusOK)
	}
	body, err := json.Marshal(data)
	if err != nil {
		return
	}
	w.request.Add(int64(len(body)))
	defer w.request.Add(-int64(len(body)))
	_, _ = fmt.Fprintf(w.response, "id: %d\nevent: %s\ndata: %s\n\n", w.nextID, event, body)
	w.response.Flush()
	w.nextID++
}

// serveStream runs a request and writes its tokens and its answer or refusal as events.
func (s *Server) serveStream(c echo.Context, p parsedRequest, request *connlimit.Request) error {
	w := &eventWriter{response: c.Response(), request: request}
	emit := func(t model.Token) {
		w.write(EventToken, TokenBody(t))
	}
	answer, refusal := s.deps.Serve(c.Request().Context(), p.request, p.pipeline, emit)
	if refusal != nil && w.nextID == 0 {
		return s.writeRefusal(c, p.request.ID, refusal)
	}
	if refusal != nil {
		s.deps.CountRefusal(refusal)
		w.write(EventRefusal, newRefusalBody(p.request.ID, refusal))
		return nil
	}
	w.write(EventAnswer, newAnswerBody(p.request.ID, answer))
	return nil
}
