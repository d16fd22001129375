// Package list is a client of the platform's list of live and leaving hosts and endpoints. The list lags behind; it is
// only one of several sources of the state of a host.
package list

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/model"
)

const (
	// Path is the path of the list.
	Path = "/list"
	// HostsPath is the path to which a host's own entry is sent.
	HostsPath = "/list/hosts"
	// callTimeout bounds an announcement, and the time without a byte while the list is read.
	callTimeout = 2 * time.Second
	// maxListBytes bounds the size of the list, at some 100 bytes per entry, and maxReadTime the time to read it: what
	// 10 Mbit/s take for that size.
	maxListBytes = 16 << 20
	maxReadTime  = 13 * time.Second
)

// Client reads the list and announces the host of this node.
type Client struct {
	baseURL string
	client  *http.Client
}

// NewClient returns a client for the platform at an address of the form HOST:PORT.
func NewClient(address string) *Client {
	return &Client{
		baseURL: "http://" + address,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
}

// Get returns the current list.
func (c *Client) Get(ctx context.Context) (model.HostList, error) {
	var hosts model.HostList
	ctx, cancel := context.WithTimeout(ctx, maxReadTime)
	defer cancel()
	ctx, idleTimeout := clock.WithIdleTimeout(ctx, callTimeout, callTimeout)
	defer idleTimeout.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+Path, nil)
	if err != nil {
		return hosts, errors.Wrap(err, "list: unable to make a request")
	}
	res, err := c.client.Do(req)
	if err != nil {
		c.client.CloseIdleConnections()
		return hosts, errors.Wrap(err, "list: unable to read the list")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return hosts, errors.Errorf("list: unable to read the list: %s", res.Status)
	}
	if err := json.NewDecoder(io.LimitReader(idleTimeout.Reader(res.Body), maxListBytes)).Decode(&hosts); err != nil {
		return hosts, errors.Wrap(err, "list: unable to decode the list")
	}
	return hosts, nil
}

// Announce sends the entry of the host of this node to the platform.
func (c *Client) Announce(ctx context.Context, host model.Host) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(host)
	if err != nil {
		return errors.Wrap(err, "list: unable to encode the entry of the host")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+HostsPath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "list: unable to make a request")
	}
	res, err := c.client.Do(req)
	if err != nil {
		c.client.CloseIdleConnections()
		return errors.Wrap(err, "list: unable to announce the host")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("list: unable to announce the host: %s", res.Status)
	}
	return nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}
