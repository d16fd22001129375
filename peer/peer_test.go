package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/standin"
)

// newServer returns a server that handles KindSettings with handler.
func newServer(t *testing.T, handler peer.Handler) *peer.Server {
	t.Helper()
	s, err := peer.NewServer("127.0.0.1:0", "secret")
	must.NoError(t, err)
	s.Serve(kernel.Member{Node: "b"}, map[peer.Kind]peer.Handler{peer.KindSettings: handler})
	t.Cleanup(s.Close)
	return s
}

func TestConcurrentCallsOnOneConnectionGetTheirReplies(t *testing.T) {
	s := newServer(t, func(_ context.Context, body []byte) (any, error) {
		var pull peer.SettingsPull
		if err := peer.DecodeBody(body, &pull); err != nil {
			return nil, err
		}
		return peer.SettingsReply{Snapshot: model.Snapshot{Revision: pull.After * 2}}, nil
	})
	c := peer.NewClient("a", "secret")
	defer c.Close()
	var wg sync.WaitGroup
	for i := range uint64(200) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var reply peer.SettingsReply
			err := c.Call(t.Context(), s.Address(), peer.KindSettings, peer.SettingsPull{After: i}, &reply)
			must.NoError(t, err)
			must.EqOp(t, 2*i, reply.Snapshot.Revision)
		}()
	}
	wg.Wait()
}

func TestWrongTokenIsRefusedAndReported(t *testing.T) {
	refused := make(chan string, 1)
	s := newServer(t, nil)
	s.OnTokenRefused = func(remote string) { refused <- remote }
	c := peer.NewClient("a", "wrong")
	defer c.Close()
	err := c.Call(t.Context(), s.Address(), peer.KindSettings, peer.SettingsPull{}, &peer.SettingsReply{})
	must.ErrorIs(t, err, peer.ErrTokenRefused)
	<-refused
}

func TestVerdictIsNotRunOnlyIfNothingWasWritten(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	c := peer.NewClient("a", "secret")
	defer c.Close()
	must.EqOp(t, model.NotRun, verdictOf(t, c, closed.Addr().String()))

	failing := newServer(t, func(context.Context, []byte) (any, error) { return nil, errors.New("cut") })
	must.EqOp(t, model.MayHaveRun, verdictOf(t, c, failing.Address()))
}

func verdictOf(t *testing.T, c *peer.Client, address string) model.Verdict {
	t.Helper()
	err := c.Call(t.Context(), address, peer.KindSettings, peer.SettingsPull{}, &peer.SettingsReply{})
	var call *peer.CallError
	must.True(t, errors.As(err, &call))
	return call.Verdict
}

// If a peer accepts the connection and then never replies, calls to it must fail with the connection, long before their
// own deadline.
func TestCallsToSilentPeerFail(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		frame, err := peer.ReadFrame(conn)
		if err != nil {
			return
		}
		frame.Reply = true
		data, _ := peer.EncodeFrame(frame)
		_, _ = conn.Write(data)
		// After the handshake, it reads frames without replying.
		for {
			if _, err := peer.ReadFrame(conn); err != nil {
				return
			}
		}
	}()
	c := peer.NewClient("a", "secret")
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	err = c.Call(ctx, listener.Addr().String(), peer.KindSettings, peer.SettingsPull{}, &peer.SettingsReply{})
	must.ErrorIs(t, err, net.ErrClosed)
	must.NoError(t, ctx.Err())
}

func TestFrameRoundTrip(t *testing.T) {
	frame := peer.Frame{Kind: peer.KindForward, Number: 7, Reply: true, Body: []byte{0x80}}
	data, err := peer.EncodeFrame(frame)
	must.NoError(t, err)
	got, err := peer.ReadFrame(bytes.NewReader(data))
	must.NoError(t, err)
	must.Eq(t, frame, got)
	_, err = peer.ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}))
	must.ErrorIs(t, err, peer.ErrFrameTooLong)
}

func FuzzReadFrame(f *testing.F) {
	valid, _ := peer.EncodeFrame(peer.Frame{Kind: peer.KindHeartbeat, Number: 1, Body: []byte{0x80}})
	f.Add(valid)
	f.Add([]byte{0, 0, 0, 1, 0xc0})
	f.Add([]byte{0, 0, 0, 9})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		frame, err := peer.ReadFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		_ = peer.DecodeBody(frame.Body, &peer.Heartbeat{})
		_ = peer.DecodeBody(frame.Body, &peer.Forward{})
		_ = peer.DecodeBody(frame.Body, &peer.Handover{})
	})
}

// Most replies to Feed, two per second and node, report that nothing has changed. Such a reply must take little more
// than the age of each table.
func TestReplyWithoutChangesIsSmall(t *testing.T) {
	reply := peer.FeedReply{Tables: map[string]kernel.Delta{}}
	for _, table := range []string{"op", "servers", "basilstall_nodes"} {
		reply.Tables[table] = kernel.Delta{Version: 70_000, Age: 1234 * time.Millisecond}
	}
	body, err := peer.EncodeBody(reply)
	must.NoError(t, err)
	frame, err := peer.EncodeFrame(peer.Frame{Kind: peer.KindFeed, Number: 4321, Reply: true, Body: body})
	must.NoError(t, err)
	must.LessEq(t, 180, len(frame))
	var decoded peer.FeedReply
	must.NoError(t, peer.DecodeBody(body, &decoded))
	must.Eq(t, reply, decoded)
}

// When hundreds of endpoints start together, each node that follows the store receives the entries of all of them
// within a second. Such replies must shrink to less than a third; small replies stay uncompressed.
func TestLongRepliesAreCompressed(t *testing.T) {
	for _, tc := range []struct {
		name      string
		endpoints int
		maxBytes  int64
	}{
		{"many endpoints", 500, 500 * 60},
		{"one endpoint", 1, 300},
	} {
		t.Run(tc.name, func(t *testing.T) {
			reply := peer.FeedReply{Tables: map[string]kernel.Delta{"servers": {Version: 7}}}
			delta := reply.Tables["servers"]
			for i := range tc.endpoints {
				value := fmt.Sprintf(`{"service":"pool","address":"10.1.%d.%d:8080","zone":"east","version":1,"slots":64,"state":"ready","cold_remaining_ms":0,"sequence":1}`, i/250, i%250)
				delta.Rows = append(delta.Rows, kernel.Row{Key: fmt.Sprintf("i-%010x", i*7919), Value: value, Version: uint64(i)})
			}
			reply.Tables["servers"] = delta
			s := newServer(t, func(context.Context, []byte) (any, error) { return reply, nil })
			proxy := newCountingProxy(t, s.Address())
			c := peer.NewClient("a", "secret")
			defer c.Close()
			var decoded peer.FeedReply
			must.NoError(t, c.Call(t.Context(), proxy.address, peer.KindSettings, peer.SettingsPull{}, &decoded))
			must.Eq(t, reply, decoded)
			must.LessEq(t, tc.maxBytes, proxy.bytesReturned.Load())
		})
	}
}

// countingProxy forwards one connection and counts the bytes that the server sends.
type countingProxy struct {
	address       string
	bytesReturned atomic.Int64
}

func newCountingProxy(t *testing.T, target string) *countingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	c := &countingProxy{address: listener.Addr().String()}
	go func() {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		defer client.Close()
		server, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		defer server.Close()
		go func() {
			_, _ = io.Copy(server, client)
		}()
		_, _ = io.Copy(client, io.TeeReader(server, c))
	}()
	return c
}

// Write implements io.Writer.
func (c *countingProxy) Write(p []byte) (int, error) {
	c.bytesReturned.Add(int64(len(p)))
	return len(p), nil
}

// The connections of streams are used again, and closed once they have been idle for a while. Guards against a node that keeps
// connections to all nodes that once sent requests in its place.
func TestIdleStreamsAreClosed(t *testing.T) {
	closed := make(chan struct{}, 1)
	s, err := peer.NewServer("127.0.0.1:0", "secret")
	must.NoError(t, err)
	t.Cleanup(s.Close)
	s.StreamHandlers = map[peer.Kind]peer.StreamHandler{peer.KindRelay: func(_ context.Context, _ []byte, stream *peer.Stream) error {
		return stream.Send(peer.KindRelay, peer.RelayReply{})
	}}
	proxied := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", s.Address())
		if err != nil {
			return
		}
		close(proxied)
		go func() { _, _ = io.Copy(conn, upstream) }()
		_, _ = io.Copy(upstream, conn)
		closed <- struct{}{}
	}()
	s.Serve(kernel.Member{Node: "b"}, map[peer.Kind]peer.Handler{})
	c := peer.NewClient("a", "secret")
	defer c.Close()
	for range 3 {
		stream, err := c.OpenStream(t.Context(), listener.Addr().String())
		must.NoError(t, err)
		must.NoError(t, stream.Send(peer.KindRelay, peer.Relay{Pool: "p"}))
		must.NoError(t, stream.Receive(peer.KindRelay, &peer.RelayReply{}))
		stream.Release()
	}
	<-proxied
	<-closed
}

// A stream ends when its peer falls silent, and with it the work at the other end. Guards against requests that wait for a node
// whose connections hang.
func TestStreamEndsWhenPeerFallsSilent(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	s, err := peer.NewServer("127.0.0.1:0", "secret")
	must.NoError(t, err)
	t.Cleanup(s.Close)
	s.StreamHandlers = map[peer.Kind]peer.StreamHandler{peer.KindRelay: func(ctx context.Context, _ []byte, _ *peer.Stream) error {
		close(begun)
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	}}
	s.Serve(kernel.Member{Node: "b"}, map[peer.Kind]peer.Handler{})
	link := standin.NewCutLink(s.Address())
	t.Cleanup(link.Close)
	c := peer.NewClient("a", "secret")
	defer c.Close()
	stream, err := c.OpenStream(t.Context(), link.Address())
	must.NoError(t, err)
	defer stream.Close()
	must.NoError(t, stream.Send(peer.KindRelay, peer.Relay{Pool: "p"}))
	<-begun
	link.SetState(standin.LinkSilent)
	_, err = stream.Next()
	must.Error(t, err)
	<-ended
}

// A server goes on after it could not accept a connection. Guards against a node that answers no other one any more because its
// descriptors had run out once.
func TestServerAcceptsAfterFailure(t *testing.T) {
	s, err := peer.NewServer("127.0.0.1:0", "secret")
	must.NoError(t, err)
	defer s.Close()
	accept, failures, failed := s.Accept, 3, 0
	s.Accept = func() (net.Conn, error) {
		if failures > 0 {
			failures--
			return nil, syscall.EMFILE
		}
		return accept()
	}
	s.OnAcceptFailed = func(err error) {
		must.ErrorIs(t, err, syscall.EMFILE)
		failed++
	}
	s.Serve(kernel.Member{Node: "b"}, map[peer.Kind]peer.Handler{peer.KindSettings: func(context.Context, []byte) (any, error) {
		return peer.SettingsReply{}, nil
	}})
	c := peer.NewClient("a", "secret")
	defer c.Close()
	var reply peer.SettingsReply
	must.NoError(t, c.Call(t.Context(), s.Address(), peer.KindSettings, peer.SettingsPull{}, &reply))
	must.EqOp(t, 3, failed)
}
