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

// linkBytesPerSecond is the bandwidth of the slowest links of hosts.
const linkBytesPerSecond = 1_250_000

type (
	// slowUplink is a connection that sends at linkBytesPerSecond and receives without delay.
	slowUplink struct {
		net.Conn
	}

	// pipeListener is a net.Listener that accepts the server ends of pipes.
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

// A fixed timeout on a whole write, whatever its size, cancels the write of a document of the largest size that
// operators may write: with its copy in the history, it takes longer than that over the slowest links of hosts.
// SetDocument then returns ErrUnavailable each time, and the document can never be written. The test simulates time,
// since on a busy machine encoding and decoding the document would take more of the timeout than the link.
func TestLargeDocumentWriteOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		written := 0
		listener := make(pipeListener)
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
		go server.Serve(listener)
		defer server.Close()
		store := table.NewStore("platform")
		defer store.Close()
		store.Dial = func(context.Context, string, string) (net.Conn, error) {
			clientEnd, serverEnd := net.Pipe()
			listener <- serverEnd
			return slowUplink{clientEnd}, nil
		}
		startedAt := time.Now()
		document := model.Document{Path: "teams/a", Operation: "1", YAML: strings.Repeat("# a long comment\n", 60_000)}
		outcome, _, err := store.SetDocument(t.Context(), document, 0)
		must.NoError(t, err)
		must.EqOp(t, table.Applied, outcome)
		must.EqOp(t, 3, written)
		must.Greater(t, 2*time.Second, time.Since(startedAt), must.Sprint("the link takes longer than a small write may take"))
	})
}
