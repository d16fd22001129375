package peer

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/model"
)

const (
	// maxIdleStreams is the maximum number of idle connections for streams to one peer, and idleStreamTimeout how long one
	// is kept.
	maxIdleStreams    = 4
	idleStreamTimeout = 5 * time.Second
	// streamPingInterval is how often each end of a stream sends a ping, and streamSilenceTimeout how long nothing may be
	// received from the other end: a few pings, so that a stream ends soon after its peer is lost.
	streamPingInterval   = 250 * time.Millisecond
	streamSilenceTimeout = 900 * time.Millisecond
)

var (
	errStreamEnded = errors.New("peer: the stream has ended")
	errWrongKind   = errors.New("peer: unexpected kind of frame in a stream")
)

type (
	// Stream is an exchange of several frames with one peer, on a connection that carries nothing else meanwhile: a slow
	// receiver slows down the sender of its own stream alone, and the end of the connection ends the work for it. While it
	// lasts, both ends send pings.
	Stream struct {
		conn    net.Conn
		address string
		client  *Client
		// reader reads from the connection, except at the server's end, where frames are received from the channel inbox.
		reader *bufio.Reader
		inbox  chan Frame
		done   <-chan struct{}
		// writeMu keeps frames from being interleaved.
		writeMu *sync.Mutex
		// idleSince is when the stream was last released; zero if it never was.
		idleSince time.Time
		// onSilence is called when nothing was received for streamSilenceTimeout, and when something is again; nil if the stream
		// fails then. silent is true in between.
		onSilence func(silent bool)
		silent    bool
		// silentUntil is until when the peer may be silent, in nanoseconds since the epoch, at the server's end.
		silentUntil atomic.Int64
		stopPings   chan struct{}
		closeOnce   sync.Once
	}

	// StreamHandler handles a stream that a peer has opened with a message. The stream ends when it returns. Its context is
	// cancelled when the peer closes the connection or falls silent.
	StreamHandler func(ctx context.Context, body []byte, stream *Stream) error
)

// OpenStream returns a stream to the peer at an address, which begins with the first frame that is sent. The caller must
// call Release or Close.
func (c *Client) OpenStream(ctx context.Context, address string) (*Stream, error) {
	if s := c.takeIdleStream(address); s != nil {
		s.startPings()
		return s, nil
	}
	dialer := net.Dialer{Timeout: min(dialTimeout, c.silenceTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &CallError{Verdict: model.NotRun, Err: err}
	}
	s := &Stream{conn: conn, address: address, client: c, writeMu: &sync.Mutex{}}
	s.reader = bufio.NewReader(readerFunc(s.read))
	if err := s.hello(c.hello); err != nil {
		s.Close()
		return nil, &CallError{Verdict: model.NotRun, Err: err}
	}
	s.startPings()
	return s, nil
}

func (c *Client) takeIdleStream(address string) *Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		idle := c.idleStreams[address]
		if len(idle) == 0 {
			return nil
		}
		s := idle[len(idle)-1]
		c.idleStreams[address] = idle[:len(idle)-1]
		if time.Since(s.idleSince) < idleStreamTimeout {
			return s
		}
		s.Close()
	}
}

// hello identifies this node to the peer.
func (s *Stream) hello(hello Hello) error {
	hello.Unpacks = false
	if err := s.Send(KindHello, hello); err != nil {
		return err
	}
	var reply HelloReply
	if err := s.Receive(KindHello, &reply); err != nil {
		return err
	}
	if reply.Refused {
		return ErrTokenRefused
	}
	return nil
}

// Reused reports whether the stream uses a connection of an earlier one.
func (s *Stream) Reused() bool { return !s.idleSince.IsZero() }

// Send sends a frame. At the end that opened the stream, it fails if the peer does not receive; at the other end, it waits
// for as long as the peer sends pings.
func (s *Stream) Send(kind Kind, message any) error {
	body, err := EncodeBody(message)
	if err != nil {
		return err
	}
	data, err := EncodeFrame(Frame{Kind: kind, Body: body})
	if err != nil {
		return err
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.inbox == nil {
		return writeChunks(s.conn, data)
	}
	// The server's end may wait for as long as the peer sends pings: the peer's caller may be slow.
	if err := s.conn.SetWriteDeadline(time.Time{}); err != nil {
		return err
	}
	_, err = s.conn.Write(data)
	return err
}

// Receive receives a frame that must be of the given kind, and decodes it into message.
func (s *Stream) Receive(kind Kind, message any) error {
	frame, err := s.Next()
	if err != nil {
		return err
	}
	if frame.Kind != kind {
		return errWrongKind
	}
	return DecodeBody(frame.Body, message)
}

// Next receives a frame of any kind but a ping.
func (s *Stream) Next() (Frame, error) {
	if s.inbox != nil {
		select {
		case frame := <-s.inbox:
			return frame, nil
		case <-s.done:
			return Frame{}, errStreamEnded
		}
	}
	for {
		frame, err := ReadFrame(s.reader)
		if err != nil || frame.Kind != KindPing {
			return frame, err
		}
	}
}

// OnSilence has a stream live on while its peer is silent: f is called when nothing was received for some time, and when
// something is again. It holds until Release. Only the end that opened the stream may call it, before Next.
func (s *Stream) OnSilence(f func(silent bool)) {
	s.onSilence = f
}

// AllowSilence has a stream live on while its peer is silent, for some time from now on. Only the server's end may call it.
func (s *Stream) AllowSilence(period time.Duration) {
	s.silentUntil.Store(time.Now().Add(period).UnixNano())
}

// mayBeSilent reports whether the peer may be silent at a time.
func (s *Stream) mayBeSilent(now time.Time) bool {
	return now.UnixNano() < s.silentUntil.Load()
}

// read reads from the connection. Once the peer has been silent for too long it fails, or tells so and reads on.
func (s *Stream) read(p []byte) (int, error) {
	for {
		if err := s.conn.SetReadDeadline(time.Now().Add(streamSilenceTimeout)); err != nil {
			return 0, err
		}
		n, err := s.conn.Read(p)
		silent := errors.Is(err, os.ErrDeadlineExceeded)
		if s.onSilence != nil && silent != s.silent {
			s.silent = silent
			s.onSilence(silent)
		}
		if n > 0 || !silent || s.onSilence == nil {
			return n, err
		}
	}
}

// startPings sends pings until the stream is released or closed.
func (s *Stream) startPings() {
	stop := make(chan struct{})
	s.stopPings = stop
	go func() {
		ticker := time.NewTicker(streamPingInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if s.Send(KindPing, Empty{}) != nil {
					return
				}
			case <-stop:
				return
			}
		}
	}()
}

func (s *Stream) endPings() {
	if s.stopPings != nil {
		close(s.stopPings)
		s.stopPings = nil
	}
}

// Release ends a stream whose last frame was received, and keeps its connection for another one.
func (s *Stream) Release() {
	s.endPings()
	s.onSilence, s.silent = nil, false
	s.idleSince = time.Now()
	c := s.client
	c.mu.Lock()
	idle := c.idleStreams[s.address]
	kept := !c.closed && len(idle) < maxIdleStreams
	if kept {
		c.idleStreams[s.address] = append(idle, s)
	}
	c.mu.Unlock()
	if !kept {
		s.Close()
		return
	}
	time.AfterFunc(idleStreamTimeout, func() { c.closeIdleStreams(s.address) })
}

// closeIdleStreams closes the connections to an address that have been idle for idleStreamTimeout.
func (c *Client) closeIdleStreams(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []*Stream
	for _, s := range c.idleStreams[address] {
		if time.Since(s.idleSince) < idleStreamTimeout {
			kept = append(kept, s)
		} else {
			s.Close()
		}
	}
	if len(kept) == 0 {
		delete(c.idleStreams, address)
		return
	}
	c.idleStreams[address] = kept
}

// Close closes the connection of the stream, which ends the peer's work for it. It may be called more than once, and
// concurrently with all other methods.
func (s *Stream) Close() {
	s.closeOnce.Do(func() { _ = s.conn.Close() })
}

// streamReceiver receives the frames of the streams that a peer opens on one connection, one after the other.
type streamReceiver struct {
	conn    net.Conn
	writeMu *sync.Mutex

	mu sync.Mutex
	// stream is the present stream; nil between streams. ended is closed when the last stream's handler has returned.
	stream *Stream
	ended  chan struct{}
}

// begin runs the handler of a stream that was opened with a frame. The peer has received the end of the stream before.
func (r *streamReceiver) begin(ctx context.Context, handler StreamHandler, body []byte) {
	if r.ended != nil {
		<-r.ended
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	stream := &Stream{conn: r.conn, writeMu: r.writeMu, inbox: make(chan Frame), done: ctx.Done()}
	r.mu.Lock()
	r.stream, r.ended = stream, ended
	r.mu.Unlock()
	go func() {
		defer close(ended)
		defer cancel()
		stream.startPings()
		err := handler(ctx, body, stream)
		stream.endPings()
		if err != nil {
			stream.Close()
		}
		r.end()
	}()
}

// end allows the connection to be idle until the next stream.
func (r *streamReceiver) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stream = nil
	_ = r.conn.SetReadDeadline(time.Time{})
}

// receive passes a frame to the present stream. It returns false if there is none.
func (r *streamReceiver) receive(frame Frame) bool {
	r.mu.Lock()
	stream := r.stream
	r.mu.Unlock()
	if stream == nil {
		return false
	}
	if frame.Kind == KindPing {
		return true
	}
	select {
	case stream.inbox <- frame:
	case <-stream.done:
	}
	return true
}

// read reads from the connection. During a stream, it fails once the peer has been silent for too long.
func (r *streamReceiver) read(p []byte) (int, error) {
	for {
		r.mu.Lock()
		stream := r.stream
		if stream != nil {
			_ = r.conn.SetReadDeadline(time.Now().Add(streamSilenceTimeout))
		}
		r.mu.Unlock()
		n, err := r.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if stream == nil || !stream.mayBeSilent(time.Now()) {
			return n, err
		}
	}
}
