package peer

import (
	"bufio"
	"context"
	"crypto/subtle"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
)

const (
	// minAcceptPause is the pause after a failure to accept a connection. It doubles with each further one, up to
	// maxAcceptPause.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

type (
	// Handler handles one call: it decodes the body and returns the message of the reply. After an error, the server
	// closes the connection.
	Handler func(ctx context.Context, body []byte) (any, error)

	// Server handles the calls of peers. Handlers run concurrently.
	Server struct {
		// Handlers holds the handler of each kind. It must not be changed once the server runs.
		Handlers map[Kind]Handler
		// CancelOnDisconnect holds the kinds whose handlers' contexts are cancelled when the connection is closed,
		// because their work is of no use without the caller. It must not be changed once the server runs.
		CancelOnDisconnect map[Kind]bool
		// StreamHandlers holds the handlers of the kinds that open streams. It must not be changed once the server runs.
		StreamHandlers map[Kind]StreamHandler
		// Accept waits for the next connection. It must not be changed once the server runs.
		Accept func() (net.Conn, error)
		// OnAcceptFailed is called when no connection could be accepted, with the error.
		OnAcceptFailed func(err error)
		// OnTokenRefused is called for each Hello with a wrong token, with the remote address.
		OnTokenRefused func(remote string)

		token    string
		member   kernel.Member
		listener net.Listener
		ctx      context.Context
		cancel   context.CancelFunc
		mu       sync.Mutex
		conns    map[net.Conn]struct{}
	}
)

// NewServer listens on an address of the form HOST:PORT. Connections are accepted after Serve was called.
func NewServer(address, token string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer: unable to listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		Accept:         listener.Accept,
		OnAcceptFailed: func(error) {},
		OnTokenRefused: func(string) {},
		token:          token,
		listener:       listener,
		ctx:            ctx,
		cancel:         cancel,
		conns:          map[net.Conn]struct{}{},
	}, nil
}

// Address returns the address on which the server listens, HOST:PORT.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve starts to accept connections, and returns at once. The server identifies itself as member to its callers.
func (s *Server) Serve(member kernel.Member, handlers map[Kind]Handler) {
	s.member = member
	s.Handlers = handlers
	go func() {
		pause := minAcceptPause
		for {
			conn, err := s.Accept()
			if err != nil {
				if s.ctx.Err() != nil {
					return
				}
				// Accepting goes on: a process that has no free descriptor has one again later.
				s.OnAcceptFailed(err)
				clock.Sleep(s.ctx, pause)
				pause = min(2*pause, maxAcceptPause)
				continue
			}
			pause = minAcceptPause
			s.mu.Lock()
			s.conns[conn] = struct{}{}
			s.mu.Unlock()
			go func() {
				defer s.closeConn(conn)
				s.serveConn(conn)
			}()
		}
	}()
}

// Close closes the listener and all connections, and cancels the contexts of the handlers.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) closeConn(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

func (s *Server) serveConn(conn net.Conn) {
	w := &replyWriter{conn: conn}
	streams := &streamReceiver{conn: conn, writeMu: &w.mu}
	reader := bufio.NewReader(readerFunc(streams.read))
	if !s.handshake(conn, reader, w) {
		return
	}
	connCtx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	for {
		frame, err := ReadFrame(reader)
		if err != nil {
			return
		}
		if handler := s.StreamHandlers[frame.Kind]; handler != nil {
			streams.begin(connCtx, handler, frame.Body)
			continue
		}
		if streams.receive(frame) {
			continue
		}
		if frame.Kind == KindPing {
			w.write(Frame{Kind: KindPing, Reply: true, Body: frame.Body})
			continue
		}
		handler := s.Handlers[frame.Kind]
		if handler == nil {
			return
		}
		ctx := s.ctx
		if s.CancelOnDisconnect[frame.Kind] {
			ctx = connCtx
		}
		go func() {
			reply, err := handler(ctx, frame.Body)
			if err != nil {
				_ = conn.Close()
				return
			}
			w.reply(frame, reply)
		}()
	}
}

// handshake reads the first frame, which must be a Hello with the right token, and replies to it. It reports whether
// the connection may be used.
func (s *Server) handshake(conn net.Conn, reader *bufio.Reader, w *replyWriter) bool {
	_ = conn.SetReadDeadline(time.Now().Add(defaultHelloTimeout))
	frame, err := ReadFrame(reader)
	if err != nil || frame.Kind != KindHello {
		return false
	}
	var hello Hello
	if DecodeBody(frame.Body, &hello) != nil {
		return false
	}
	w.compress = hello.Unpacks
	refused := subtle.ConstantTimeCompare([]byte(hello.Token), []byte(s.token)) != 1
	w.reply(frame, HelloReply{Refused: refused, Member: s.member})
	if refused {
		s.OnTokenRefused(conn.RemoteAddr().String())
		return false
	}
	return conn.SetReadDeadline(time.Time{}) == nil
}

// replyWriter writes the replies of concurrent handlers to a connection. It closes the connection if that fails.
type replyWriter struct {
	mu   sync.Mutex
	conn net.Conn
	// compress is true if the caller can decompress replies. It is set by the handshake.
	compress bool
}

func (w *replyWriter) reply(call Frame, message any) {
	body, err := EncodeBody(message)
	if err != nil {
		_ = w.conn.Close()
		return
	}
	frame := Frame{Kind: call.Kind, Number: call.Number, Reply: true, Body: body}
	if w.compress {
		if frame, err = frame.compressed(); err != nil {
			_ = w.conn.Close()
			return
		}
	}
	w.write(frame)
}

func (w *replyWriter) write(f Frame) {
	data, err := EncodeFrame(f)
	if err != nil {
		_ = w.conn.Close()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := writeChunks(w.conn, data); err != nil {
		_ = w.conn.Close()
	}
}
