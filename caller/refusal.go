package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"basilstall.example/basilstall/model"
)

// statusByReason maps the reasons of refusals to HTTP status codes.
var statusByReason = map[model.Reason]int{
	model.BadRequest:           http.StatusBadRequest,
	model.Unauthorized:         http.StatusUnauthorized,
	model.UnknownPipeline:      http.StatusNotFound,
	model.KeyMismatch:          http.StatusUnprocessableEntity,
	model.KeyClosed:            http.StatusConflict,
	model.KeyTooOld:            http.StatusConflict,
	model.KeyAhead:             http.StatusConflict,
	model.OutcomeUnknown:       http.StatusConflict,
	model.CustomerLimit:        http.StatusTooManyRequests,
	model.TooLarge:             http.StatusRequestEntityTooLarge,
	model.StageFailed:          http.StatusBadGateway,
	model.StageTimeout:         http.StatusGatewayTimeout,
	model.DeadlinePassed:       http.StatusGatewayTimeout,
	model.CannotFinish:         http.StatusServiceUnavailable,
	model.Overloaded:           http.StatusServiceUnavailable,
	model.Draining:             http.StatusServiceUnavailable,
	model.NotReady:             http.StatusServiceUnavailable,
	model.NoEndpoint:           http.StatusServiceUnavailable,
	model.OwnerUnreachable:     http.StatusServiceUnavailable,
	model.OwnerUnknown:         http.StatusServiceUnavailable,
	model.TableUnavailable:     http.StatusServiceUnavailable,
	model.AdapterNotLoaded:     http.StatusServiceUnavailable,
	model.CallerGone:           http.StatusServiceUnavailable,
	model.Quarantined:          http.StatusServiceUnavailable,
	model.StaleRouting:         http.StatusServiceUnavailable,
	model.StageLate:            http.StatusServiceUnavailable,
	model.PoolEvacuated:        http.StatusServiceUnavailable,
	model.EndpointsPaused:      http.StatusServiceUnavailable,
	model.EndpointsBrittle:     http.StatusServiceUnavailable,
	model.EndpointsUnreachable: http.StatusServiceUnavailable,
	model.EndpointsCold:        http.StatusServiceUnavailable,
	model.EndpointsCapped:      http.StatusServiceUnavailable,
	model.NoHome:               http.StatusServiceUnavailable,
	model.NodeFull:             http.StatusServiceUnavailable,
	model.PiecesUnmakable:      http.StatusServiceUnavailable,
	model.RoutingUnread:        http.StatusServiceUnavailable,
	model.EndpointRefused:      http.StatusServiceUnavailable,
	model.OverShare:            http.StatusServiceUnavailable,
	model.StreamUnknown:        http.StatusServiceUnavailable,
	model.VersionGone:          http.StatusServiceUnavailable,
}

// writeRefusal counts a refusal and writes it, with the time after which the caller may retry.
func (s *Server) writeRefusal(c echo.Context, id string, r *model.Refusal) error {
	s.deps.CountRefusal(r)
	h := c.Response().Header()
	h.Set(HeaderVerdict, string(r.Verdict))
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		h.Set(HeaderRetryAfter, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	status, known := statusByReason[r.Reason]
	if !known {
		status = http.StatusInternalServerError
	}
	return writeJSON(c, status, newRefusalBody(id, r))
}

// writeJSON writes a value with the length of its encoding. Without it, net/http states no end of a body over 2 KiB to a caller
// of HTTP/1.0, and proxies that use HTTP/1.0 pass on the beginning of such a body as the whole of it.
func writeJSON(c echo.Context, status int, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "caller: unable to encode an answer")
	}
	body = append(body, '\n')
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	return c.JSONBlob(status, body)
}
