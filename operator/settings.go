package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/table"
)

const maxDocumentBytes = 1 << 20

// getSettings lists the documents in force on this node.
func (s *Server) getSettings(c echo.Context) error {
	settings := s.deps.Settings()
	documents := make([]model.Document, 0, len(settings.Documents))
	for _, doc := range settings.Documents {
		documents = append(documents, doc)
	}
	return c.JSON(http.StatusOK, model.Snapshot{Revision: settings.Revision, Documents: documents})
}

// getDocument returns a document as the table has it.
func (s *Server) getDocument(c echo.Context) error {
	doc, err := s.deps.Store.Document(c.Request().Context(), c.Param("*"))
	if err != nil {
		return c.JSON(http.StatusServiceUnavailable, Problem{Detail: err.Error()})
	}
	if doc.Revision == 0 {
		return c.JSON(http.StatusNotFound, Problem{Detail: "there is no document at " + c.Param("*")})
	}
	return c.JSON(http.StatusOK, doc)
}

// putDocument makes a change if nobody else changed the document since its base revision.
func (s *Server) putDocument(c echo.Context) error {
	var change Change
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxDocumentBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		return c.JSON(http.StatusBadRequest, Problem{Detail: err.Error()})
	}
	path := c.Param("*")
	if err := s.deps.Settings().Check(path, change.YAML); err != nil {
		return c.JSON(http.StatusBadRequest, ChangeResult{Outcome: table.NotApplied, Detail: err.Error()})
	}
	if change.Operation == "" {
		change.Operation = uuid.NewString()
	}
	doc := model.Document{
		Path:      path,
		Operation: change.Operation,
		Author:    change.Author,
		At:        time.Now().UTC(),
		YAML:      change.YAML,
	}
	outcome, current, err := s.deps.Store.SetDocument(c.Request().Context(), doc, change.Base)
	return s.writeChangeResult(c, change, outcome, current, err)
}

func (s *Server) writeChangeResult(c echo.Context, change Change, outcome table.ChangeOutcome, current model.Document, err error) error {
	result := ChangeResult{Outcome: outcome, Operation: change.Operation}
	status := http.StatusOK
	switch {
	case outcome == table.Applied:
		result.Revision = current.Revision
		s.deps.OnSettingsChanged()
	case outcome == table.Unknown:
		status = http.StatusGatewayTimeout
		result.Detail = "the table's answer was lost; ask again with the same operation number"
	case err != nil:
		status = http.StatusServiceUnavailable
		result.Detail = err.Error()
	default:
		status = http.StatusConflict
		result.Current = &current
		result.Detail = "the document was changed since the base revision"
	}
	s.deps.CountEvent("Change" + string(outcome))
	return c.JSON(status, result)
}

// checkDocument tells what is wrong with a document, without setting it.
func (s *Server) checkDocument(c echo.Context) error {
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxDocumentBytes))
	if err != nil {
		return c.JSON(http.StatusBadRequest, Problem{Detail: err.Error()})
	}
	if err := s.deps.Settings().Check(c.Param("*"), string(data)); err != nil {
		return c.JSON(http.StatusBadRequest, Problem{Detail: err.Error()})
	}
	return c.JSON(http.StatusOK, Problem{Detail: "good"})
}

// getHistory returns the changes of a path, oldest first.
func (s *Server) getHistory(c echo.Context) error {
	history, err := s.deps.Store.History(c.Request().Context(), c.QueryParam("path"))
	if err != nil {
		return c.JSON(http.StatusServiceUnavailable, Problem{Detail: err.Error()})
	}
	return c.JSON(http.StatusOK, history)
}
