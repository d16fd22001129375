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
	// Trace is a recorded trace: a header and entries in the order of their send times.
	Trace struct {
		Header  Header
		Entries []Entry
	}

	// Header is the first line of a trace and describes the set-up it runs on.
	Header struct {
		// Sample is the name of the sample: Bilbao or Moravia.
		Sample string
		// Nodes is the number of nodes; values below 1 mean 1.
		Nodes int
	}

	// Entry is one request of a trace.
	Entry struct {
		// At is the planned send time, from the start of the replay.
		At       Duration
		Customer string
		Pipeline string
		// Deadline is the time for a complete answer, from the planned send time.
		Deadline Duration
		// Key is a name for the idempotency key, which is generated: entries with the same name share a key. Empty for
		// requests without a key.
		Key string `json:",omitempty"`
		// Size is the minimum length of the request's text in bytes.
		Size   int
		Prefix string `json:",omitempty"`
		Tokens int    `json:",omitempty"`
	}

	// Duration is a time.Duration that is encoded in JSON as a string, such as "1.5s".
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

// ReadTrace reads a trace from a file of JSON lines.
func ReadTrace(file string) (Trace, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Trace{}, errors.Wrap(err, "replay: unable to read the trace")
	}
	return ParseTrace(file, data)
}

// ParseTrace parses a trace. Unknown fields are errors; errors name the file and line.
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

// decodeStrict decodes JSON and treats unknown fields as errors.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// WithLoad returns the trace with its load multiplied by factor: entries are left out or repeated evenly, and each
// repetition gets its own key.
func (t Trace) WithLoad(factor float64) Trace {
	var entries []Entry
	credit := 0.0
	for _, e := range t.Entries {
		credit += factor
		for copyIndex := 0; credit >= 1; copyIndex++ {
			credit--
			c := e
			if c.Key != "" && copyIndex > 0 {
				c.Key = fmt.Sprintf("%s-%d", c.Key, copyIndex)
			}
			entries = append(entries, c)
		}
	}
	t.Entries = entries
	return t
}

// Length returns the planned send time of the last entry. It panics if the trace has no entries.
func (t Trace) Length() time.Duration {
	return time.Duration(t.Entries[len(t.Entries)-1].At)
}

// text returns the entry's text, padded to Size. It is the same for entries with the same key and otherwise unique to
// the index.
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
