package peer_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

// cutPeer accepts each connection, answers its Hello and, after one more frame that is no ping, sends the set bytes and closes
// the connection.
type cutPeer struct {
	listener net.Listener
	mu       sync.Mutex
	answer   []byte
}

func newCutPeer(t *testing.T) *cutPeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &cutPeer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *cutPeer) set(answer []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answer = answer
}

func (p *cutPeer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	hello, err := peer.ReadFrame(reader)
	if err != nil {
		return
	}
	hello.Reply = true
	if hello.Body, err = peer.EncodeBody(peer.HelloReply{}); err != nil {
		return
	}
	if data, err := peer.EncodeFrame(hello); err != nil || writeAll(conn, data) != nil {
		return
	}
	for {
		frame, err := peer.ReadFrame(reader)
		if err != nil {
			return
		}
		if frame.Kind != peer.KindPing {
			break
		}
	}
	p.mu.Lock()
	answer := p.answer
	p.mu.Unlock()
	_ = writeAll(conn, answer)
}

func writeAll(w io.Writer, data []byte) error {
	_, err := w.Write(data)
	return err
}

func encodeFrame(t *testing.T, kind peer.Kind, number uint64, message any, packed bool) []byte {
	t.Helper()
	frame := peer.Frame{Kind: kind, Number: number, Reply: number > 0, Packed: packed}
	body, err := peer.EncodeBody(message)
	must.NoError(t, err)
	frame.Body = body
	if packed {
		data, err := peer.Compress(body)
		must.NoError(t, err)
		frame.Body, err = peer.EncodeBody(data)
		must.NoError(t, err)
	}
	data, err := peer.EncodeFrame(frame)
	must.NoError(t, err)
	return data
}

// Guards against settings, tables or answers of other nodes of which only the beginning came and that are applied as whole.
func TestBeginningOfReplyIsNoReply(t *testing.T) {
	p := newCutPeer(t)
	// The second call on a connection has the number 2, after its Hello.
	snapshot := model.Snapshot{Revision: 7, Documents: []model.Document{{Path: "a", YAML: strings.Repeat("x: 1\n", 20)}, {Path: "b"}}}
	for name, reply := range map[string][]byte{
		"plain":      encodeFrame(t, peer.KindSettings, 2, peer.SettingsReply{Snapshot: snapshot}, false),
		"compressed": encodeFrame(t, peer.KindSettings, 2, peer.SettingsReply{Snapshot: snapshot}, true),
		"empty":      encodeFrame(t, peer.KindSettings, 2, peer.SettingsReply{}, false),
	} {
		t.Run(name, func(t *testing.T) {
			call := func() (peer.SettingsReply, error) {
				c := peer.NewClient("a", "secret")
				defer c.Close()
				var got peer.SettingsReply
				err := c.Call(t.Context(), p.listener.Addr().String(), peer.KindSettings, peer.SettingsPull{}, &got)
				return got, err
			}
			for length := range reply {
				p.set(reply[:length])
				_, err := call()
				must.Error(t, err, must.Sprint("after ", length, " bytes"))
			}
			p.set(reply)
			_, err := call()
			must.NoError(t, err)
		})
	}
}

// Guards against a body that is decoded from a part of itself: of a frame whose length holds, but whose body was compressed or
// encoded only in part.
func TestBeginningOfBodyIsNoBody(t *testing.T) {
	body, err := peer.EncodeBody(peer.SettingsReply{Snapshot: model.Snapshot{Revision: 7, Documents: []model.Document{{Path: "a"}, {Path: "b"}}}})
	must.NoError(t, err)
	packed, err := peer.Compress(body)
	must.NoError(t, err)
	for length := range body {
		must.Error(t, peer.DecodeBody(body[:length], &peer.SettingsReply{}), must.Sprint("after ", length, " bytes"))
	}
	for length := range packed {
		_, err := peer.Decompress(packed[:length])
		must.Error(t, err, must.Sprint("after ", length, " compressed bytes"))
	}
}

// Guards against frames of a stream between nodes of which only the beginning came.
func TestBeginningOfStreamHasNoEnd(t *testing.T) {
	p := newCutPeer(t)
	token := encodeFrame(t, peer.KindRelayToken, 0, peer.RelayToken{Token: model.Token{Index: 0, Text: "one"}}, false)
	end := encodeFrame(t, peer.KindRelayStageEnd, 0, peer.RelayStageEnd{Output: model.StageOutput{Output: "one", Tokens: 1}}, false)
	answer := append(append([]byte{}, token...), end...)
	c := peer.NewClient("a", "secret")
	defer c.Close()
	for length := range len(answer) + 1 {
		p.set(answer[:length])
		stream, err := c.OpenStream(t.Context(), p.listener.Addr().String())
		must.NoError(t, err)
		must.NoError(t, stream.Send(peer.KindRelayStage, peer.RelayStage{}))
		var kinds []peer.Kind
		for {
			frame, err := stream.Next()
			if err != nil {
				break
			}
			kinds = append(kinds, frame.Kind)
		}
		stream.Close()
		var want []peer.Kind
		if length >= len(token) {
			want = append(want, peer.KindRelayToken)
		}
		if length == len(answer) {
			want = append(want, peer.KindRelayStageEnd)
		}
		must.Eq(t, want, kinds, must.Sprint("after ", length, " bytes"))
	}
}

// Guards against a frame of another kind that is taken for the reply to a call: it decodes as a reply in which nothing is set,
// such as one without a refusal.
func TestOnlyReplyOfItsKindAnswersCall(t *testing.T) {
	p := newCutPeer(t)
	for name, answer := range map[string][]byte{
		"another kind": encodeFrame(t, peer.KindFeed, 2, peer.Empty{}, false),
		"ping":         encodeFrame(t, peer.KindPing, 2, peer.Empty{}, false),
	} {
		t.Run(name, func(t *testing.T) {
			p.set(answer)
			c := peer.NewClient("a", "secret")
			defer c.Close()
			must.EqOp(t, model.MayHaveRun, verdictOf(t, c, p.listener.Addr().String()))
		})
	}
}
