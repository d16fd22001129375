package table_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/table"
)

// minLinkBytesPerSecond is what the slowest links of hosts carry, in bytes a second.
const linkBytesPerSecond = 1_250_000

type (
	// slowUplink is a connection on which what is sent takes the time of the slowest links; what comes back takes none.
	slowUplink struct {
		net.Conn
	}

	// pipes listens for the one connection that is dialled.
	pipeListener chan net.Conn
)

func (c slowUplink) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(len(p)) * time.Second / linkBytesPerSecond)
	return c.Conn.Write(p)
}

func (p pipeListener) Accept() (net.Conn, error) {
	conn, open := <-p
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p pipeListener) Close() error   { close(p); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// What was seen: a test of reads over a slow link failed once beside much else, in its first step, as "the service is not
// available".
// How it came about: the write of a large document took longer than a call may take, and was taken back.
// The cause: a limit on the whole of a write, whatever it carries. A document of the largest size that operators may
// write, and its copy in the history, take longer than that over the slowest links of hosts, and could never be written.
// What proved it: the error is that of a write that was taken back after its answer did not come in time. Time is made up
// here: on a busy machine the work of sending and reading the document took more of it than the link.
func TestLargeDocumentWriteOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		written := 0
		dialled := make(pipeListener)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == table.RowsPath {
				_ = json.NewEncoder(w).Encode([]table.Row{})
				return
			}
			var tx table.Transaction
			if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			written = len(tx.Writes)
			_ = json.NewEncoder(w).Encode(table.Committed{Version: 1})
		})}
		go server.Serve(dialled)
		defer server.Close()
		store := table.NewStore("platform")
		defer store.Close()
		store.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			dialled <- far
			return slowUplink{near}, nil
		}
		began := time.Now()
		document := model.Document{Path: "teams/a", Operation: "1", YAML: strings.Repeat("# a long comment\n", 60_000)}
		outcome, _, err := store.SetDocument(t.Context(), document, 0)
		must.NoError(t, err)
		must.EqOp(t, table.Applied, outcome)
		must.EqOp(t, 3, written)
		must.Greater(t, 2*time.Second, time.Since(began), must.Sprint("the link takes longer than a small write may take"))
	})
}
