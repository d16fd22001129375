package operator

import (
	"context"
	"crypto/subtle"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/connlimit"
	"basilstall.example/basilstall/crowd"
	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/held"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/table"
)

const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long a connection may be idle, maxHeaderBytes the size of the head of a request.
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// connLimits bounds the connections of operators and of what reads metrics.
var connLimits = crowd.Limits{Conns: 64, HeadBytes: 4 << 20}

type (
	// Dependencies are the functions and the store through which a Server reaches its node and the settings.
	Dependencies struct {
		// Settings returns the settings in force.
		Settings func() kernel.Settings
		// Store reads and writes the settings.
		Store *table.Store
		// OnSettingsChanged is called after a change of the settings was written.
		OnSettingsChanged func()
		Status            func() Status
		Endpoints         func() []dispatch.EndpointStatus
		// Explain returns the record of a request, or false if there is none.
		Explain func(ctx context.Context, request string) (model.Record, bool)
		// Ready reports whether the node is ready, and the reason if not.
		Ready        func() (bool, string)
		WriteMetrics func(io.Writer)
		// CountEvent counts an event by its name.
		CountEvent func(event string)
	}

	// Server serves the HTTP API for operators.
	Server struct {
		deps     Dependencies
		token    string
		listener net.Listener
		server   *http.Server
		// conns counts the connections, and stop ends that.
		conns *connlimit.Tracker
		stop  context.CancelFunc
	}
)

// NewServer listens on an address of the form HOST:PORT and starts to serve.
func NewServer(address, token string, deps Dependencies) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "operator: unable to listen")
	}
	s := &Server{deps: deps, token: token, listener: listener, conns: connlimit.NewTracker(held.NewLimits(0), clock.Now)}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET("/healthz", s.getHealth)
	e.GET("/readyz", s.getReady)
	e.GET("/metrics", s.getMetrics, s.authorize)
	v1 := e.Group("/v1", s.authorize)
	v1.GET("/status", s.getStatus)
	v1.GET("/endpoints", s.getEndpoints)
	v1.GET("/requests/:Request", s.getRequest)
	v1.GET("/settings", s.getSettings)
	v1.GET("/settings/*", s.getDocument)
	v1.PUT("/settings/*", s.putDocument)
	v1.POST("/check/*", s.checkDocument)
	v1.GET("/history", s.getHistory)
	s.conns.LimitCallers(connLimits)
	s.conns.OnClose = func(string, int64, connlimit.Cause) { deps.CountEvent("OperatorConnectionClosed") }
	s.server = &http.Server{
		Handler: e, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: connlimit.WithConn, ConnState: s.conns.ConnState,
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.conns.Run(ctx)
	go func() { _ = s.server.Serve(s.conns.Listen(listener)) }()
	return s, nil
}

// Address returns the address on which the server listens, HOST:PORT.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.stop()
	s.conns.Close()
	_ = s.server.Close()
}

// authorize rejects requests without the operators' token.
func (s *Server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token := strings.TrimPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
			s.deps.CountEvent("OperatorTokenRefused")
			return c.JSON(http.StatusUnauthorized, Problem{Detail: "the operator's token is wrong"})
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

func (s *Server) getMetrics(c echo.Context) error {
	c.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
	return metric.WriteAnswer(c.Response(), s.deps.WriteMetrics)
}

func (s *Server) getStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, s.deps.Status())
}

func (s *Server) getEndpoints(c echo.Context) error {
	return c.JSON(http.StatusOK, s.deps.Endpoints())
}

func (s *Server) getRequest(c echo.Context) error {
	record, ok := s.deps.Explain(c.Request().Context(), c.Param("Request"))
	if !ok {
		return c.JSON(http.StatusNotFound, Problem{Detail: "no record of this request; records are kept in a bounded ring"})
	}
	return c.JSON(http.StatusOK, record)
}
