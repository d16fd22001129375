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

// Error is what is wrong with a document.
type Error struct {
	// Document is the file's name or the settings' path.
	Document string
	// Line counts from 1; 0 where the fault has no line.
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

// NewError returns an error without a line.
func NewError(document, format string, args ...any) *Error {
	return &Error{Document: document, Reason: fmt.Sprintf(format, args...)}
}

// Decode decodes data into value, a pointer to a struct, and checks its validate tags.
func Decode(document string, data []byte, value any) error {
	check := validator.New(validator.WithRequiredStructEnabled())
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.Validator(check))
	err := decoder.Decode(value)
	if err == nil {
		return nil
	}
	return &Error{Document: document, Line: errorLine(err, data), Reason: errorReason(err)}
}

// errorLine returns the line that the error names. Errors of time.ParseDuration come without
// one: they quote the value, which is looked for.
func errorLine(err error, data []byte) int {
	var withToken yaml.Error
	if errors.As(err, &withToken) && withToken.GetToken() != nil {
		return withToken.GetToken().Position.Line
	}
	_, quoted, found := strings.Cut(err.Error(), "duration ")
	value := strings.Trim(quoted, "\"")
	if !found || value == "" {
		return 0
	}
	at := bytes.Index(data, []byte(value))
	if at < 0 {
		return 0
	}
	return 1 + bytes.Count(data[:at], []byte("\n"))
}

func errorReason(err error) string {
	var withToken yaml.Error
	if errors.As(err, &withToken) {
		return firstLine(withToken.GetMessage())
	}
	return firstLine(err.Error())
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
	return line
}
