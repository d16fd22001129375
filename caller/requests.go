package caller

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"basilstall.example/basilstall/connlimit"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// fullRetryAfter is the least time after which a caller may retry a request that the node had no memory for; the time that it
// gets is up to twice that, so that not all come back at once. By then, connections that make no progress can be closed.
const fullRetryAfter = 300 * time.Millisecond

// parsedRequest is a validated request.
type parsedRequest struct {
	request  model.Request
	pipeline model.Pipeline
	stream   bool
}

// postRequest handles a request to a pipeline.
func (s *Server) postRequest(c echo.Context) error {
	id := s.deps.NewID()
	c.Response().Header().Set(HeaderRequest, id)
	request, err := s.deps.Conns.Begin(c.Request().Context())
	if err != nil {
		return s.writeRefusal(c, id, s.refuseFull(c))
	}
	defer request.End()
	p, refusal := s.parse(c, id, request)
	if refusal != nil {
		return s.writeRefusal(c, id, refusal)
	}
	if p.stream {
		return s.serveStream(c, p, request)
	}
	answer, refusal := s.deps.Serve(c.Request().Context(), p.request, p.pipeline, nil)
	if refusal != nil {
		return s.writeRefusal(c, id, refusal)
	}
	c.Response().Header().Set(HeaderVerdict, string(answer.Verdict))
	request.Add(int64(len(answer.Output)))
	return writeJSON(c, http.StatusOK, newAnswerBody(id, answer))
}

// parse authenticates the caller and validates the request.
func (s *Server) parse(c echo.Context, id string, counted *connlimit.Request) (parsedRequest, *model.Refusal) {
	caller, ok := s.deps.Authenticate(bearerToken(c.Request()))
	if !ok {
		return parsedRequest{}, s.refusalBeforeKey(c, model.Unauthorized, "the token in Authorization: Bearer is not known")
	}
	pipeline, ok := s.deps.Pipeline(caller.Team, c.Param("Pipeline"))
	if !ok {
		return parsedRequest{}, s.refusalBeforeKey(c, model.UnknownPipeline, "team "+caller.Team+" has no pipeline "+c.Param("Pipeline"))
	}
	data, err := io.ReadAll(counted.Body(c.Request().Context(), http.MaxBytesReader(c.Response(), c.Request().Body, MaxBodyBytes)))
	if errors.Is(err, connlimit.ErrFull) {
		return parsedRequest{}, s.refuseFull(c)
	}
	if err != nil {
		return parsedRequest{}, badRequest("the body cannot be read or is longer than " + strconv.Itoa(MaxBodyBytes) + " bytes")
	}
	body, err := DecodeBody(data)
	if err != nil {
		return parsedRequest{}, badRequest(err.Error())
	}
	deadline, err := body.DeadlineAt(time.Now(), pipeline.Deadline)
	if err != nil {
		return parsedRequest{}, badRequest(err.Error())
	}
	request := model.Request{
		ID:       id,
		Team:     caller.Team,
		Customer: caller.Customer.Name,
		Pipeline: pipeline.Name,
		Deadline: deadline,
		Input:    body.Input,
	}
	if err := readKey(c.Request(), pipeline, &request); err != nil {
		return parsedRequest{}, badRequest(err.Error())
	}
	stream := body.Stream || strings.Contains(c.Request().Header.Get("Accept"), "text/event-stream")
	return parsedRequest{request: request, pipeline: pipeline, stream: stream}, nil
}

// readKey reads the idempotency key and the attempt number. A pipeline with a non-idempotent stage requires a key;
// other pipelines ignore both.
func readKey(r *http.Request, pipeline model.Pipeline, request *model.Request) error {
	if !pipeline.NonIdempotent() {
		return nil
	}
	request.Key = r.Header.Get(HeaderKey)
	if request.Key == "" {
		return errors.New("this pipeline must not be repeated: send an Idempotency-Key, best a UUIDv7")
	}
	if _, err := kernel.ParseKey(request.Account(), request.Key); err != nil {
		return errors.New("Idempotency-Key must be 1 to 128 printable ASCII characters without spaces")
	}
	text := r.Header.Get(HeaderAttempt)
	if text == "" {
		return nil
	}
	attempt, err := strconv.Atoi(text)
	if err != nil || attempt < 0 {
		return errors.Errorf("%s %q is not a number from 0 up", HeaderAttempt, text)
	}
	request.Attempt = attempt
	return nil
}

// refusalBeforeKey returns the refusal of a request whose key was not checked. The verdict is MayHaveRun if the request
// has a key: another attempt may have run under settings that this node does not have.
func (s *Server) refusalBeforeKey(c echo.Context, reason model.Reason, detail string) *model.Refusal {
	verdict := model.NotRun
	if c.Request().Header.Get(HeaderKey) != "" {
		verdict = model.MayHaveRun
	}
	return model.NewRefusal(verdict, reason, 0, detail)
}

// refuseFull returns the refusal of a request that the node has no memory for.
func (s *Server) refuseFull(c echo.Context) *model.Refusal {
	refusal := s.refusalBeforeKey(c, model.NodeFull, "the node holds too much for callers that read slowly")
	refusal.RetryAfter = fullRetryAfter + rand.N(fullRetryAfter)
	return refusal
}

func badRequest(detail string) *model.Refusal {
	return model.NewRefusal(model.NotRun, model.BadRequest, 0, detail)
}

// bearerToken returns the token in the Authorization header, or an empty string if there is none.
func bearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}
