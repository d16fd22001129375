package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
)

const (
	// OrdersPath is the path for orders.
	OrdersPath = "/orders"
	// StatePath is the path for the state of an engine.
	StatePath = "/state"

	stateTimeout = time.Second
	// maxStateBytes is the maximum size of the state of an engine.
	maxStateBytes = 1 << 20
)

// ErrStaleFencing is returned if an engine rejects an order because it knows a higher fencing number.
var ErrStaleFencing = errors.New("engine: order rejected: stale fencing number")

type (
	// OrderMessage is the body of an order to an engine.
	OrderMessage struct {
		// Kind is "Load" or "Evict".
		Kind    string
		Adapter string
		// Fencing is the number of the lease under which the order is sent. It increases with each holder of the lease,
		// so that engines can reject orders of an earlier holder.
		Fencing uint64
	}

	// StateMessage is the state that an engine reports.
	StateMessage struct {
		Adapters []string
		// Most is the maximum number of loaded adapters.
		Most int
		// Fencing is the highest fencing number of the accepted orders.
		Fencing uint64
	}

	// Client sends orders to engines and reads their states.
	Client struct {
		client *http.Client
	}
)

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}}
}

// State reads which adapters an engine has loaded.
func (c *Client) State(ctx context.Context, address string) (StateMessage, error) {
	var state StateMessage
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatePath, nil)
	if err != nil {
		return state, errors.Wrap(err, "engine: unable to make a request")
	}
	res, err := c.client.Do(req)
	if err != nil {
		return state, errors.Wrap(err, "engine: unable to read the state")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return state, errors.Errorf("engine: unable to read the state: %s", res.Status)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxStateBytes)).Decode(&state); err != nil {
		return state, errors.Wrap(err, "engine: unable to decode the state")
	}
	return state, nil
}

// Order sends an order. It is aborted after kernel.OrderTimeout, so that the next holder of the lease, if it waits
// as long, can rely on none of its predecessor's orders being in flight.
func (c *Client) Order(ctx context.Context, address string, order kernel.Order, fencing uint64) error {
	message := OrderMessage{Kind: "Load", Adapter: order.Adapter, Fencing: fencing}
	if order.Evict {
		message.Kind = "Evict"
	}
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "engine: unable to encode the order")
	}
	ctx, cancel := context.WithTimeout(ctx, kernel.OrderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+OrdersPath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "engine: unable to make a request")
	}
	// Without GetBody, the transport can't send the order again on another connection.
	req.GetBody = nil
	res, err := c.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "engine: unable to send the order")
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusConflict {
		return ErrStaleFencing
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("engine: unable to send the order: %s", res.Status)
	}
	return nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}
