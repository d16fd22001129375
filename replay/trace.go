package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const maxLineBytes = 1 << 20

type (
	// Trace is a recorded trace: a head, then entries in order of their times.
	Trace struct {
		Header  Header
		Entries []Entry
	}

	// Head is the first line: what the trace was recorded on.
	Header struct {
		// Sample names the set-up that the trace runs on: Bilbao or Moravia.
		Sample string
		// Nodes is how many nodes it runs on.
		Nodes int
	}

	// Entry is one request.
	Entry struct {
		// At is the planned send time after the start.
		At       Duration
		Customer string
		Pipeline string
		// Deadline is the time in which the answer is of use.
		Deadline Duration
		// Key names the idempotency key; entries with one name carry one key.
		Key string `json:",omitempty"`
		// Size is the length of the request's text in bytes.
		Size   int
		Prefix string `json:",omitempty"`
		Tokens int    `json:",omitempty"`
	}

	// Duration is a duration that reads as "1.5s".
	Duration time.Duration
)

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// ReadTrace reads a trace of JSON lines.
func ReadTrace(file string) (Trace, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Trace{}, errors.Wrap(err, "replay: unable to read the trace")
	}
	return ParseTrace(file, data)
}

// ParseTrace parses a trace strictly; an error names file and line.
func ParseTrace(file string, data []byte) (Trace, error) {
	var t Trace
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, maxLineBytes)
	for line := 1; scanner.Scan(); line++ {
		var err error
		if line == 1 {
			err = decodeStrict(scanner.Bytes(), &t.Header)
		} else {
			var e Entry
			err = decodeStrict(scanner.Bytes(), &e)
			t.Entries = append(t.Entries, e)
		}
		if err != nil {
			return t, errors.Errorf("%s:%d: %v", file, line, err)
		}
	}
	if len(t.Entries) == 0 {
		return t, errors.Errorf("%s: no entries", file)
	}
	return t, scanner.Err()
}

func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// WithLoad returns the trace with its load multiplied: entries are left out or doubled evenly,
// and a doubled entry has a key of its own.
func (t Trace) WithLoad(factor float64) Trace {
	var entries []Entry
	due := 0.0
	for _, e := range t.Entries {
		due += factor
		for copied := 0; due >= 1; copied++ {
			due--
			c := e
			if c.Key != "" && copied > 0 {
				c.Key = fmt.Sprintf("%s-%d", c.Key, copied)
			}
			entries = append(entries, c)
		}
	}
	t.Entries = entries
	return t
}

// Length returns the time of the last entry.
func (t Trace) Length() time.Duration {
	return time.Duration(t.Entries[len(t.Entries)-1].At)
}

// text returns the entry's text, of the recorded size: unique, but the same for one key.
func (e Entry) text(index int) string {
	subject := e.Key
	if subject == "" {
		subject = strconv.Itoa(index)
	}
	text := fmt.Sprintf("%s %s %s ", e.Customer, e.Pipeline, subject)
	if len(text) < e.Size {
		text += strings.Repeat(".", e.Size-len(text))
	}
	return text
}
