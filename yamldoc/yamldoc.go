// Package yamldoc decodes YAML documents strictly: an unknown key, a wrong unit or a missing
// value is an error that names document, line and reason.
package yamldoc

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// Error is an error in a document.
type Error struct {
	// Document is the name of a file or the path of a settings document.
	Document string
	// Line counts from 1; it is 0 if the line is not known.
	Line   int
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.Document, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", e.Document, e.Line, e.Reason)
}

// NewError returns an error without a line number.
func NewError(document, format string, args ...any) *Error {
	return &Error{Document: document, Reason: fmt.Sprintf(format, args...)}
}

// Decode decodes data into value, a pointer to a struct, and checks its validate tags.
func Decode(document string, data []byte, value any) error {
	validate := validator.New(validator.WithRequiredStructEnabled())
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.Validator(validate))
	err := decoder.Decode(value)
	if err == nil {
		return nil
	}
	return &Error{Document: document, Line: errorLine(err, data), Reason: errorReason(err)}
}

// errorLine returns the line number of an error, 0 if it is not known. Errors of time.ParseDuration
// have no line number but quote the value, so the line is that of the value's first occurrence.
func errorLine(err error, data []byte) int {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		return yamlErr.GetToken().Position.Line
	}
	_, quoted, found := strings.Cut(err.Error(), "duration ")
	value := strings.Trim(quoted, "\"")
	if !found || value == "" {
		return 0
	}
	offset := bytes.Index(data, []byte(value))
	if offset < 0 {
		return 0
	}
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

func errorReason(err error) string {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		return firstLine(yamlErr.GetMessage())
	}
	return firstLine(err.Error())
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
	return line
}
