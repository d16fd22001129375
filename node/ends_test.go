package node_test

import (
	"bufio"
	"net"
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/node"
	"basilstall.example/basilstall/peer"
)

// serveStageAnswer serves one stream of a node, on which it answers the first message with bytes, and ends the connection.
func serveStageAnswer(listener net.Listener, answer []byte) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	hello, err := peer.ReadFrame(reader)
	if err != nil {
		return
	}
	if hello.Body, err = peer.EncodeBody(peer.HelloReply{}); err != nil {
		return
	}
	if data, err := peer.EncodeFrame(hello); err == nil {
		_, _ = conn.Write(data)
	}
	if _, err := peer.ReadFrame(reader); err == nil {
		_, _ = conn.Write(answer)
	}
}

// receiveStageAnswer receives a stage that a member answers with bytes.
func receiveStageAnswer(t *testing.T, answer []byte) (output string, tokens int, err error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	go serveStageAnswer(listener, answer)
	c := peer.NewClient("a", "secret")
	defer c.Close()
	stream, err := c.OpenStream(t.Context(), listener.Addr().String())
	must.NoError(t, err)
	defer stream.Close()
	must.NoError(t, stream.Send(peer.KindRelayStage, peer.RelayStage{}))
	result, err := node.ReceiveStage(stream, func(model.Token) { tokens++ })
	return result.Output.Output, tokens, err
}

func encodeFrames(t *testing.T, kinds []peer.Kind, messages ...any) []byte {
	t.Helper()
	var out []byte
	for i, message := range messages {
		body, err := peer.EncodeBody(message)
		must.NoError(t, err)
		data, err := peer.EncodeFrame(peer.Frame{Kind: kinds[i], Body: body})
		must.NoError(t, err)
		out = append(out, data...)
	}
	return out
}

// Guards against a stage whose member is lost within its answer and that counts as run with the output that came, or as
// refused: after a refusal that states that nothing ran, the stage would be sent again.
func TestBeginningOfMembersAnswerEndsNoStage(t *testing.T) {
	token := peer.RelayToken{Token: model.Token{Index: 0, Text: "one"}}
	for name, end := range map[string]peer.RelayStageEnd{
		"output":  {Output: model.StageOutput{Output: "one", Tokens: 1}},
		"refusal": {Refusal: model.NewRefusal(model.NotRun, model.NoEndpoint, 0, "none")},
	} {
		t.Run(name, func(t *testing.T) {
			answer := encodeFrames(t, []peer.Kind{peer.KindRelayToken, peer.KindRelayStageEnd}, token, end)
			for length := range answer {
				_, _, err := receiveStageAnswer(t, answer[:length])
				must.Error(t, err, must.Sprint("after ", length, " bytes"))
				var refusal *model.Refusal
				must.False(t, errors.As(err, &refusal), must.Sprint("after ", length, " bytes"))
			}
			output, tokens, err := receiveStageAnswer(t, answer)
			must.EqOp(t, end.Output.Output, output)
			must.EqOp(t, 1, tokens)
			must.EqOp(t, end.Refusal != nil, err != nil)
		})
	}
}

// Guards against a message of another kind that is taken for the end of a stage, with what it lacks as the stage's output: none,
// and no refusal.
func TestOnlyStageEndEndsStage(t *testing.T) {
	for name, tc := range map[string]struct {
		kind    peer.Kind
		message any
	}{
		"answer to an offer": {peer.KindRelay, peer.RelayReply{Declined: model.Draining}},
		"end of a request":   {peer.KindRelayEnd, peer.RelayEnd{}},
		"unknown kind":       {peer.Kind(200), peer.Empty{}},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := receiveStageAnswer(t, encodeFrames(t, []peer.Kind{tc.kind}, tc.message))
			must.Error(t, err)
		})
	}
}
