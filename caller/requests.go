package caller

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// parsed is a request that passed all checks.
type parsedRequest struct {
	request  model.Request
	pipeline model.Pipeline
	stream   bool
}

// postRequest parses, validates, calls and answers.
func (s *Server) postRequest(c echo.Context) error {
	id := s.deps.NewID()
	c.Response().Header().Set(HeaderRequest, id)
	p, refusal := s.parse(c, id)
	if refusal != nil {
		return s.writeRefusal(c, id, refusal)
	}
	if p.stream {
		return s.serveStream(c, p)
	}
	answer, refusal := s.deps.Serve(c.Request().Context(), p.request, p.pipeline, nil)
	if refusal != nil {
		return s.writeRefusal(c, id, refusal)
	}
	c.Response().Header().Set(HeaderVerdict, string(answer.Verdict))
	return c.JSON(http.StatusOK, newAnswerBody(id, answer))
}

func (s *Server) parse(c echo.Context, id string) (parsedRequest, *model.Refusal) {
	caller, ok := s.deps.Authenticate(bearerToken(c.Request()))
	if !ok {
		return parsedRequest{}, s.refusalBeforeKey(c, model.Unauthorized, "the token in Authorization: Bearer is not known")
	}
	pipeline, ok := s.deps.Pipeline(caller.Team, c.Param("Pipeline"))
	if !ok {
		return parsedRequest{}, s.refusalBeforeKey(c, model.UnknownPipeline, "team "+caller.Team+" has no pipeline "+c.Param("Pipeline"))
	}
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, MaxBodyBytes))
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

// readKey reads the idempotency key, which a pipeline with a non-idempotent stage demands.
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

// refusalBeforeKey refuses a request before its key was looked at. If it has one, another attempt
// may have run under settings that this node does not have.
func (s *Server) refusalBeforeKey(c echo.Context, reason model.Reason, detail string) *model.Refusal {
	verdict := model.NotRun
	if c.Request().Header.Get(HeaderKey) != "" {
		verdict = model.MayHaveRun
	}
	return model.NewRefusal(verdict, reason, 0, detail)
}

func badRequest(detail string) *model.Refusal {
	return model.NewRefusal(model.NotRun, model.BadRequest, 0, detail)
}

func bearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}
