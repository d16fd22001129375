package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// AnswerServer answers each HTTP request with bytes that a test sets, and then closes the connection. The answer has neither a
// length nor chunks unless its bytes state them.
type AnswerServer struct {
	listener net.Listener
	mu       sync.Mutex
	answer   string
}

// NewAnswerServer starts a server on a free port of 127.0.0.1.
func NewAnswerServer() (*AnswerServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "standin: unable to listen")
	}
	s := &AnswerServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// Address returns the address on which the server listens, HOST:PORT.
func (s *AnswerServer) Address() string { return s.listener.Addr().String() }

// Close stops listening.
func (s *AnswerServer) Close() { _ = s.listener.Close() }

// Set sets the bytes of the following answers, beginning with the status line.
func (s *AnswerServer) Set(answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// AcceptedPrefixes has read called once for each prefix of an answer that is not the whole of it, which the server sends, and
// returns the lengths in bytes of those for which read returned no error. The last answer that the server sends is the whole
// one, so that a test can call read once more.
func (s *AnswerServer) AcceptedPrefixes(answer string, read func() error) []int {
	var accepted []int
	for length := range len(answer) {
		s.Set(answer[:length])
		if read() == nil {
			accepted = append(accepted, length)
		}
	}
	s.Set(answer)
	return accepted
}

// serve reads one request to its end, so that closing the connection does not reset it, and answers it.
func (s *AnswerServer) serve(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	answer := s.answer
	s.mu.Unlock()
	_, _ = io.WriteString(conn, answer)
}
