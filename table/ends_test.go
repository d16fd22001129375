package table_test

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/standin"
	"basilstall.example/basilstall/table"
)

const jsonHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"

// newAnsweredStore returns a store whose service answers as a test sets.
func newAnsweredStore(t *testing.T) (*standin.AnswerServer, *table.Store) {
	t.Helper()
	server, err := standin.NewAnswerServer()
	must.NoError(t, err)
	t.Cleanup(server.Close)
	store := table.NewStore(server.Address())
	t.Cleanup(store.Close)
	return server, store
}

// Guards against a read of the table whose connection ends early and that is taken for a table with fewer rows, or none.
func TestBeginningOfRowsIsNoTable(t *testing.T) {
	server, store := newAnsweredStore(t)
	for name, tc := range map[string]struct {
		body string
		rows int
	}{
		"no rows":  {"[]", 0},
		"two rows": {`[{"Key":"a/1","Version":12,"Value":"eyJOIjoxMn0="},{"Key":"a/2","Version":13,"Value":"MTIzNDU2Nzg="}]`, 2},
	} {
		t.Run(name, func(t *testing.T) {
			read := func() error {
				_, err := store.List(t.Context(), "a/")
				return err
			}
			must.Eq(t, nil, server.AcceptedPrefixes(jsonHead+tc.body, read))
			rows, err := store.List(t.Context(), "a/")
			must.NoError(t, err)
			must.Len(t, tc.rows, rows)
		})
	}
}

// Guards against a reader that takes the beginning of an answer for "there is no such row".
func TestBeginningOfRowsIsNotNoRow(t *testing.T) {
	server, store := newAnsweredStore(t)
	read := func() error {
		_, err := store.Get(t.Context(), "a/1")
		if errors.Is(err, table.ErrNotFound) {
			return nil
		}
		return err
	}
	must.Eq(t, nil, server.AcceptedPrefixes(jsonHead+"[]", read))
	must.NoError(t, read())
}

// Guards against a transaction that counts as committed or as in conflict by the beginning of the answer: its outcome is then
// unknown.
func TestBeginningOfCommitReplyIsUnknown(t *testing.T) {
	server, store := newAnsweredStore(t)
	for name, answer := range map[string]string{
		"committed": jsonHead + `{"Version":123}`,
		"conflict":  "HTTP/1.1 409 Conflict\r\nContent-Type: application/json\r\n\r\n" + `{"Keys":["a/1","a/2"]}`,
	} {
		t.Run(name, func(t *testing.T) {
			commit := func() error {
				_, err := store.Commit(t.Context(), table.Transaction{})
				if errors.Is(err, table.ErrUnknown) {
					return err
				}
				return nil
			}
			must.Eq(t, nil, server.AcceptedPrefixes(answer, commit))
			must.NoError(t, commit())
		})
	}
}

// Guards against a transaction that counts as committed, at version 0, by an answer that states no version.
func TestCommitReplyWithoutVersionIsUnknown(t *testing.T) {
	server, store := newAnsweredStore(t)
	for _, body := range []string{`{}`, `null`, `{"Version":0}`, `{"message":"OK"}`} {
		t.Run(body, func(t *testing.T) {
			server.Set(jsonHead + body)
			_, err := store.Commit(t.Context(), table.Transaction{})
			must.ErrorIs(t, err, table.ErrUnknown)
		})
	}
}
