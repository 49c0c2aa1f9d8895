package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/reach"
)

// client asks carriers for connections.
type client struct {
	vm string
	// dial opens a connection to a carrier's port.
	dial func(ctx context.Context, address string) (net.Conn, error)
	port int
	// leaving reports whether a carrier drains.
	leaving  func(address string) bool
	carriers *reach.Carriers
	count    atomic.Int64
}

// open asks a carrier to connect to target for the request with this id. The verdict is Connected
// exactly if there is a connection.
func (c *client) open(ctx context.Context, carrier string, target reach.Target, requestID string) (*Conn, reach.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	conn, err := c.dial(ctx, net.JoinHostPort(carrier, strconv.Itoa(c.port)))
	if err != nil {
		return nil, reach.Lost, oops.Wrapf(err, "carrier %s", carrier)
	}
	id := fmt.Sprintf("%s/%d", c.vm, c.count.Add(1))
	verdict, err := c.connect(ctx, conn, target.Address, requestID, id)
	tcp, isTCP := conn.(tcpConn)
	if err == nil && !isTCP {
		verdict, err = reach.Lost, oops.Errorf("not a TCP connection")
	}
	if verdict != reach.Connected {
		_ = conn.Close()
		return nil, verdict, errors.Join(oops.Errorf("carrier %s: %s", carrier, verdict), err)
	}
	var once sync.Once
	return &Conn{
		tcpConn: tcp, Carrier: carrier, ID: id, stale: func() bool { return c.leaving(carrier) },
		closed: func() { once.Do(func() { c.carriers.Closed(carrier) }) },
	}, verdict, nil
}

// connect sends the CONNECT request and reads its answer.
func (c *client) connect(ctx context.Context, conn net.Conn, address, requestID, id string) (reach.Verdict, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request := &http.Request{Method: http.MethodConnect, Host: address, Header: http.Header{vmField: {c.vm}, tunnelField: {id}}}
	if requestID != "" {
		request.Header.Set(requestField, requestID)
	}
	if _, err := fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n", address, address); err != nil {
		return reach.Lost, err
	}
	if err := request.Header.Write(conn); err != nil {
		return reach.Lost, err
	}
	if _, err := conn.Write([]byte("\r\n")); err != nil {
		return reach.Lost, err
	}
	// The carrier sends nothing after its answer until it has received a request.
	reader := bufio.NewReader(httpio.NewHeadReader(conn, httpio.MaxHeadBytes))
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return reach.Lost, err
	}
	_ = response.Body.Close()
	verdict := reach.Verdict(response.Header.Get(verdictField))
	if (verdict == reach.Connected) != (response.StatusCode == http.StatusOK) || verdict == "" {
		return reach.Lost, oops.Errorf("status %d", response.StatusCode)
	}
	if reader.Buffered() > 0 {
		return reach.Lost, oops.Errorf("bytes before a request")
	}
	if !stop() {
		return reach.Lost, ctx.Err() // The deadline of the connection has been changed.
	}
	return verdict, nil
}
