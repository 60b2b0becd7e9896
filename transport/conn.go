package transport

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// past is a deadline that interrupts reads and writes at once.
var past = time.Unix(1, 0)

const bufferBytes = 4 << 10 // of each direction of a connection

// keepAlive lets the kernel find a dead path under a slow answer.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", address)
}

// conn is one connection to an upstream, used by one exchange at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	limited *io.LimitedReader // bounds the head of an answer
	written int64             // bytes of the present request handed to the kernel
	dialled time.Time
	quiet   time.Time // end of the last exchange
	reused  bool
	bytes   int64 // most bytes in the head of an answer
}

func newConn(raw net.Conn, headerBytes int64) *conn {
	c := &conn{Conn: raw, bytes: headerBytes, dialled: time.Now()}
	c.limited = &io.LimitedReader{R: raw, N: math.MaxInt64}
	c.reader = bufio.NewReaderSize(c.limited, bufferBytes)
	c.writer = bufio.NewWriterSize(c, bufferBytes)
	return c
}

// Write counts what reaches the kernel, since only a request without a byte written surely did not run.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// send writes the whole request.
func (c *conn) send(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// alive reports whether the peer has neither closed the connection nor sent anything unasked.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return peekEmpty(tcp)
	}
	return c.pollEmpty()
}

// peekEmpty looks at the socket without waiting.
func peekEmpty(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errno == syscall.EAGAIN
	})
	return err == nil && empty
}

// pollEmpty is for connections that are not sockets.
func (c *conn) pollEmpty() bool {
	if err := c.SetReadDeadline(past); err != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	return os.IsTimeout(err) && c.SetReadDeadline(time.Time{}) == nil
}
