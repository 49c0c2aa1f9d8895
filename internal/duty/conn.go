package duty

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

const (
	// abortCheckInterval is the interval at which a call checks whether it must have ended by a clock
	// that also runs while the machine is suspended. What a resumed machine still sends is cut off
	// within it.
	abortCheckInterval = 50 * time.Millisecond
	// maxResponseBytes bounds what is read of a response, whose body is not used.
	maxResponseBytes = 64 << 10
)

// errCutOff means that a call did not end in time.
var errCutOff = errors.New("the call was cut off, as it took too long")

// exchange sends a request on a connection of its own and returns the status of the response. mayWrite is
// asked right before the request is written, and mustEnd while it is in progress; closing the connection
// resets it, so that no bytes of a call that was cut off are sent later.
func exchange(ctx context.Context, address string, timeout time.Duration, request *http.Request, mayWrite, mustEnd func() bool) (int, error) {
	var message bytes.Buffer
	request.Close = true
	if err := request.Write(&message); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := dial(ctx, address, timeout)
	if err != nil {
		return 0, err
	}
	httpio.ResetAtClose(conn, true)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		stop()
		_ = conn.Close()
	}()
	go closeWhen(ctx, conn, mustEnd)
	if !mayWrite() {
		return 0, ErrNotHeld
	}
	if _, err := conn.Write(message.Bytes()); err != nil {
		return 0, cutOff(ctx, err)
	}
	response, err := http.ReadResponse(bufio.NewReader(io.LimitReader(httpio.NewHeadReader(conn, httpio.MaxHeadBytes), maxResponseBytes)), request)
	if err != nil {
		return 0, cutOff(ctx, err)
	}
	return response.StatusCode, response.Body.Close()
}

func cutOff(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return errCutOff
	}
	return err
}

func closeWhen(ctx context.Context, conn net.Conn, mustEnd func() bool) {
	ticker := time.NewTicker(abortCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if mustEnd() {
				_ = conn.Close()
				return
			}
		}
	}
}

// dial opens a connection that the kernel gives up when sent bytes stay unacknowledged for the timeout:
// a stopped process can't cut a call off itself.
func dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
		})
		return errors.Join(err, optionErr)
	}}
	dialer.SetMultipathTCP(false)
	return dialer.DialContext(ctx, "tcp4", address)
}
