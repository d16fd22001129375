package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// RequestsPath takes requests to a pipeline.
	RequestsPath      = "/v1/pipelines/:Pipeline/requests"
	readHeaderTimeout = 10 * time.Second
)

type (
	// Seams are what the server needs of its node.
	Dependencies struct {
		// Caller returns whom a token stands for.
		Authenticate func(token string) (kernel.Caller, bool)
		// Pipeline returns a team's pipeline.
		Pipeline func(team, name string) (model.Pipeline, bool)
		// Serve runs a request to its answer or refusal.
		Serve func(ctx context.Context, req model.Request, pipeline model.Pipeline, emit func(model.Token)) (model.Answer, *model.Refusal)
		// NewID returns a new request's ID.
		NewID func() string
		// Draining tells whether connections should end.
		Draining func() bool
		// Ready tells whether the balancer should send requests here, and why not.
		Ready func() (bool, string)
		// Count counts an event by name.
		CountEvent func(event string)
		// Refused counts a refusal.
		CountRefusal func(*model.Refusal)
	}

	// Server is the listener for callers.
	Server struct {
		deps     Dependencies
		listener net.Listener
		server   *http.Server
	}
)

// NewServer listens on an address, HOST:PORT, and serves.
func NewServer(address string, seams Dependencies) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "caller: unable to listen")
	}
	s := &Server{deps: seams, listener: listener}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Use(s.closeWhenDraining)
	e.POST(RequestsPath, s.postRequest)
	e.GET("/healthz", s.getHealth)
	e.GET("/readyz", s.getReady)
	s.server = &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Shutdown takes no more connections and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) {
	_ = s.server.Shutdown(ctx)
}

// Close ends all connections at once.
func (s *Server) Close() {
	_ = s.server.Close()
}

// closeWhenDraining lets a draining node's kept connections wind down, so that the shutdown
// finds no idle one on which a request may just be arriving.
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
	ready, why := s.deps.Ready()
	if !ready {
		return c.String(http.StatusServiceUnavailable, why+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
