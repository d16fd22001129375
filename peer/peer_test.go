package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

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

	cut := newServer(t, func(context.Context, []byte) (any, error) { return nil, errors.New("cut") })
	must.EqOp(t, model.MayHaveRun, verdictOf(t, c, cut.Address()))
}

func verdictOf(t *testing.T, c *peer.Client, address string) model.Verdict {
	t.Helper()
	err := c.Call(t.Context(), address, peer.KindSettings, peer.SettingsPull{}, &peer.SettingsReply{})
	var call *peer.CallError
	must.True(t, errors.As(err, &call))
	return call.Verdict
}

// TestCallsToSilentPeerFail: a peer that took the connection and then says nothing ends the
// calls on it long before their own deadline.
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
		// From here on it reads and says nothing.
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
	good, _ := peer.EncodeFrame(peer.Frame{Kind: peer.KindHeartbeat, Number: 1, Body: []byte{0x80}})
	f.Add(good)
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

// Nodes that ask for what the store holds are mostly told that nothing is new, twice a second each: the
// answer says how old its proofs are and hardly more.
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
	var back peer.FeedReply
	must.NoError(t, peer.DecodeBody(body, &back))
	must.Eq(t, reply, back)
}

// At a common start hundreds of endpoints list themselves within a second, and each follower is told of each: such
// replies take under a third of the bytes, and small ones are left as they are.
func TestLongRepliesAreCompressed(t *testing.T) {
	for _, tc := range []struct {
		name      string
		endpoints int
		most      int64
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
			counted := newCountingProxy(t, s.Address())
			c := peer.NewClient("a", "secret")
			defer c.Close()
			var back peer.FeedReply
			must.NoError(t, c.Call(t.Context(), counted.address, peer.KindSettings, peer.SettingsPull{}, &back))
			must.Eq(t, reply, back)
			must.LessEq(t, tc.most, counted.bytesReturned.Load())
		})
	}
}

// counter passes connections on and counts the bytes that come back.
type countingProxy struct {
	address       string
	bytesReturned atomic.Int64
}

func newCountingProxy(t *testing.T, to string) *countingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	c := &countingProxy{address: listener.Addr().String()}
	go func() {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		defer near.Close()
		far, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer far.Close()
		go func() {
			_, _ = io.Copy(far, near)
		}()
		_, _ = io.Copy(near, io.TeeReader(far, c))
	}()
	return c
}

// Write implements io.Writer.
func (c *countingProxy) Write(p []byte) (int, error) {
	c.bytesReturned.Add(int64(len(p)))
	return len(p), nil
}
