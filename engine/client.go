package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
)

const (
	// OrdersPath takes orders and StatePath reports what is loaded.
	OrdersPath = "/orders"
	// StatePath reports what an engine has loaded.
	StatePath = "/state"

	stateTimeout = time.Second
)

// ErrStaleFencing is returned where an engine refused an old fencing number.
var ErrStaleFencing = errors.New("engine: the fencing number is old")

type (
	// OrderMessage is an order as engines take it.
	OrderMessage struct {
		// Kind is "Load" or "Evict".
		Kind    string
		Adapter string
		Fencing uint64
	}

	// StateMessage is what an engine reports of itself.
	StateMessage struct {
		Adapters []string
		// Most is how many adapters it has room for.
		Most    int
		Fencing uint64
	}

	// Client gives orders to engines and reads their states.
	Client struct {
		client *http.Client
	}
)

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}}
}

// State reads what an engine has loaded.
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
	if err := json.NewDecoder(res.Body).Decode(&state); err != nil {
		return state, errors.Wrap(err, "engine: unable to decode the state")
	}
	return state, nil
}

// Order gives an order. It is given up after the longest time that an order may be under way,
// so that a successor who waits that long meets none of it.
func (c *Client) Order(ctx context.Context, address string, order kernel.Order, fencing uint64) error {
	message := OrderMessage{Kind: "Load", Adapter: order.Adapter, Fencing: fencing}
	if order.Evict {
		message.Kind = "Evict"
	}
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "engine: unable to encode")
	}
	ctx, cancel := context.WithTimeout(ctx, kernel.OrderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+OrdersPath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "engine: unable to make a request")
	}
	req.GetBody = nil
	res, err := c.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "engine: unable to order")
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusConflict {
		return ErrStaleFencing
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("engine: unable to order: %s", res.Status)
	}
	return nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}
