package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

type (
	// channel is a connection of a client to a node.
	channel struct {
		conn   net.Conn
		reader *bufio.Reader
	}

	// answer is what a client got for a request. status is 0 if the channel ended without a complete answer.
	answer struct {
		status     int
		stamp      string
		body       string
		closes     bool
		retryAfter string
		err        error
	}
)

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request of the ticket route and waits for its whole answer.
func (c *channel) send(id, subject string, deadline time.Duration) answer {
	request := "POST /tickets/new HTTP/1.1\r\nHost: " + routeHost + "\r\nX-Request-Id: " + id +
		"\r\nAuthorization: Bearer " + apiKey + "\r\nX-Deadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10) +
		"\r\nContent-Type: text/plain\r\nContent-Length: " + strconv.Itoa(len(subject)) + "\r\n\r\n" + subject
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := io.WriteString(c.conn, request); err != nil {
		return answer{err: fmt.Errorf("send: %w", err)}
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: fmt.Errorf("no answer: %w", err)}
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{err: fmt.Errorf("answer cut: %w", err)}
	}
	return answer{
		status: res.StatusCode, stamp: res.Header.Get(headerStamp), body: string(body), closes: res.Close,
		retryAfter: res.Header.Get("Retry-After"),
	}
}

func (a answer) String() string {
	if a.err != nil {
		return a.err.Error()
	}
	return fmt.Sprintf("status %d, stamp %q, Retry-After %q", a.status, a.stamp, a.retryAfter)
}
