package table

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
)

const (
	// callTimeout bounds the time of a transaction beyond that of sending its bytes, and the time for which a read may
	// receive nothing. A silent connection must not block the users of the table, but a large document may take long
	// over a slow link.
	callTimeout = 2 * time.Second
	// minLinkBytesPerSecond is the bandwidth of the slowest links of hosts, 10 Mbit/s.
	minLinkBytesPerSecond = 1_250_000
	// maxRowsBytes bounds the size of a read, and maxReadTime its duration: the time that 10 Mbit/s take for that size.
	maxRowsBytes = 64 << 20
	maxReadTime  = 54 * time.Second
	// maxCommitReplyBytes is the maximum size of the reply to a transaction.
	maxCommitReplyBytes = 1 << 20
)

// Store reads and writes the rows of the table service. It is safe for concurrent use.
type Store struct {
	// Dial opens a connection to the platform.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	baseURL    string
	client     *http.Client
	readCount  atomic.Uint64
	writeCount atomic.Uint64
}

// NewStore returns a Store for the platform at an address of the form HOST:PORT.
func NewStore(address string) *Store {
	s := &Store{Dial: (&net.Dialer{}).DialContext, baseURL: "http://" + address}
	s.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return s.Dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}
	return s
}

// Reads returns the number of reads that were sent.
func (s *Store) Reads() uint64 { return s.readCount.Load() }

// Writes returns the number of transactions that were sent.
func (s *Store) Writes() uint64 { return s.writeCount.Load() }

// Close closes idle connections.
func (s *Store) Close() { s.client.CloseIdleConnections() }

// Get returns a row, or ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (Row, error) {
	rows, err := s.read(ctx, "key", key)
	if err != nil {
		return Row{}, err
	}
	if len(rows) == 0 {
		return Row{}, ErrNotFound
	}
	return rows[0], nil
}

// List returns the rows whose keys begin with a prefix, in the order of their keys.
func (s *Store) List(ctx context.Context, prefix string) ([]Row, error) {
	return s.read(ctx, "prefix", prefix)
}

// Commit commits a transaction and returns its version. A *Conflict or ErrUnavailable means that nothing was written;
// after ErrUnknown, the transaction may have taken effect.
func (s *Store) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	body, err := json.Marshal(tx)
	if err != nil {
		return 0, errors.Wrap(err, "table: unable to encode a transaction")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(ctx, trace), commitTimeout(len(body)))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.baseURL+TransactionsPath, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "table: unable to make a request")
	}
	// Without GetBody net/http cannot send the transaction a second time by itself.
	req.GetBody = nil
	s.writeCount.Add(1)
	res, err := s.client.Do(req)
	if err != nil {
		s.client.CloseIdleConnections()
		if !connected.Load() {
			return 0, errors.Wrap(ErrUnavailable, err.Error())
		}
		return 0, errors.Wrap(ErrUnknown, err.Error())
	}
	defer res.Body.Close()
	return decodeCommitReply(res)
}

// commitTimeout returns the timeout of a transaction of the given size in bytes. It depends on the size because the
// progress of sending cannot be observed, unlike that of a read: the operating system accepts the bytes at once.
func commitTimeout(size int) time.Duration {
	return callTimeout + time.Duration(size)*time.Second/minLinkBytesPerSecond
}

func decodeCommitReply(res *http.Response) (uint64, error) {
	switch res.StatusCode {
	case http.StatusOK:
		var committed Committed
		if err := json.NewDecoder(io.LimitReader(res.Body, maxCommitReplyBytes)).Decode(&committed); err != nil {
			return 0, errors.Wrap(ErrUnknown, err.Error())
		}
		if committed.Version == 0 {
			return 0, errors.Wrap(ErrUnknown, "the reply has no version")
		}
		return committed.Version, nil
	case http.StatusConflict:
		conflict := &Conflict{}
		if err := json.NewDecoder(io.LimitReader(res.Body, maxCommitReplyBytes)).Decode(conflict); err != nil {
			return 0, errors.Wrap(ErrUnknown, err.Error())
		}
		return 0, conflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, errors.Wrap(ErrUnavailable, res.Status)
	default:
		return 0, errors.Wrap(ErrUnknown, res.Status)
	}
}

// read returns the rows that a query parameter, "key" or "prefix", selects.
func (s *Store) read(ctx context.Context, parameter, value string) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, maxReadTime)
	defer cancel()
	ctx, idleTimeout := clock.WithIdleTimeout(ctx, callTimeout, callTimeout)
	defer idleTimeout.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.baseURL+RowsPath+"?"+url.Values{parameter: {value}}.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "table: unable to make a request")
	}
	s.readCount.Add(1)
	res, err := s.client.Do(req)
	if err != nil {
		s.client.CloseIdleConnections()
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Wrap(ErrUnavailable, res.Status)
	}
	var rows []Row
	if err := json.NewDecoder(io.LimitReader(idleTimeout.Reader(res.Body), maxRowsBytes)).Decode(&rows); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	return rows, nil
}
