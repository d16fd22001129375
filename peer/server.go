package peer

import (
	"bufio"
	"context"
	"crypto/subtle"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
)

type (
	// Handler answers one call: it decodes the body and returns the reply's message.
	Handler func(ctx context.Context, body []byte) (any, error)

	// Server answers peers' calls.
	Server struct {
		// Handlers has one entry a kind; it is not changed once the server runs.
		Handlers map[Kind]Handler
		// CancelOnDisconnect lists the kinds whose handlers' contexts end with the connection: work that
		// is of no use without its caller.
		CancelOnDisconnect map[Kind]bool
		// OnTokenRefused is called for each wrong token.
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

// NewServer listens on an address, HOST:PORT. Serve starts the work.
func NewServer(address, token string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer: unable to listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		OnTokenRefused: func(string) {},
		token:          token,
		listener:       listener,
		ctx:            ctx,
		cancel:         cancel,
		conns:          map[net.Conn]struct{}{},
	}, nil
}

// Address returns where the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve begins to answer in the name of a member.
func (s *Server) Serve(member kernel.Member, handlers map[Kind]Handler) {
	s.member = member
	s.Handlers = handlers
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
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

// Close ends the server and its connections.
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
	reader := bufio.NewReader(conn)
	w := &replyWriter{conn: conn}
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

// greet checks the first frame, which must be a Hello with the right token.
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

type replyWriter struct {
	mu   sync.Mutex
	conn net.Conn
	// packs tells that the caller understands compressed replies; it is set by the first frame.
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
