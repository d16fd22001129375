package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/connlimit"
	"basilstall.example/basilstall/held"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// RequestsPath is the route of requests to a pipeline.
	RequestsPath      = "/v1/pipelines/:Pipeline/requests"
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long a connection may be idle, maxHeaderBytes the size of the head of a request.
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

type (
	// Dependencies are the functions through which a Server reaches its node.
	Dependencies struct {
		// Authenticate returns the caller to which a token belongs, or false if the token is unknown.
		Authenticate func(token string) (kernel.Caller, bool)
		// Pipeline returns a pipeline of a team by its name.
		Pipeline func(team, name string) (model.Pipeline, bool)
		// Serve runs a request and returns its answer, or a refusal that is not nil. It passes the tokens of a stream to
		// emit; emit is nil if the caller did not request a stream.
		Serve func(ctx context.Context, req model.Request, pipeline model.Pipeline, emit func(model.Token)) (model.Answer, *model.Refusal)
		// NewID returns the ID of a new request.
		NewID func() string
		// Draining reports whether the node is draining, so that connections should be closed after their current
		// request.
		Draining func() bool
		// Ready reports whether the load balancer should send requests to this node, and the reason if not.
		Ready func() (bool, string)
		// Conns counts what the node holds for callers; nil for a tracker of the server's own, with the default limits.
		Conns *connlimit.Tracker
		// CountEvent counts an event by its name.
		CountEvent func(event string)
		// CountRefusal counts a refusal.
		CountRefusal func(*model.Refusal)
	}

	// Server serves the HTTP API for callers.
	Server struct {
		deps     Dependencies
		listener net.Listener
		server   *http.Server
		// stop ends the tracking of connections.
		stop context.CancelFunc
	}
)

// NewServer listens on an address of the form HOST:PORT and starts to serve.
func NewServer(address string, deps Dependencies) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "caller: unable to listen")
	}
	if deps.Conns == nil {
		deps.Conns = connlimit.NewTracker(held.NewLimits(0), clock.Now)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{deps: deps, listener: listener, stop: cancel}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Use(s.closeWhenDraining)
	e.POST(RequestsPath, s.postRequest)
	e.GET("/healthz", s.getHealth)
	e.GET("/readyz", s.getReady)
	s.server = &http.Server{
		Handler: e, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: connlimit.WithConn, ConnState: deps.Conns.ConnState,
	}
	go deps.Conns.Run(ctx)
	go func() { _ = s.server.Serve(deps.Conns.Listen(listener)) }()
	return s, nil
}

// Address returns the address on which the server listens, HOST:PORT.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Shutdown stops accepting connections and waits until the requests in flight have ended or ctx is done.
func (s *Server) Shutdown(ctx context.Context) {
	_ = s.server.Shutdown(ctx)
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.stop()
	s.deps.Conns.Close()
	_ = s.server.Close()
}

// closeWhenDraining makes clients close their keep-alive connections while the node drains. Otherwise, Shutdown might
// close an idle connection on which a request is just arriving.
func (s *Server) closeWhenDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.deps.Draining() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

func (s *Server) getHealth(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

func (s *Server) getReady(c echo.Context) error {
	ready, reason := s.deps.Ready()
	if !ready {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
