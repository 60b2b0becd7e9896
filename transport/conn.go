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

// expiredDeadline is a deadline in the past, which interrupts reads and writes at once.
var expiredDeadline = time.Unix(1, 0)

const bufferBytes = 4 << 10 // buffer size for each direction of a connection

// keepAlive lets the kernel detect a dead path while a slow response is pending.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", address)
}

// conn is one connection to an upstream, used by one exchange at a time.
type conn struct {
	net.Conn
	reader       *bufio.Reader
	writer       *bufio.Writer
	limited      *io.LimitedReader // limits the head of a response
	written      int64             // bytes of the current request passed to the kernel
	dialedAt     time.Time
	idleSince    time.Time // end of the last exchange, when the connection became idle
	reused       bool
	maxHeadBytes int64 // maximum bytes in the head of a response
}

func newConn(raw net.Conn, headerBytes int64) *conn {
	c := &conn{Conn: raw, maxHeadBytes: headerBytes, dialedAt: time.Now()}
	c.limited = &io.LimitedReader{R: raw, N: math.MaxInt64}
	c.reader = bufio.NewReaderSize(c.limited, bufferBytes)
	c.writer = bufio.NewWriterSize(c, bufferBytes)
	return c
}

// Write counts the bytes passed to the kernel, since only a request of which no byte was written is known not to have run.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// send writes and flushes the complete request.
func (c *conn) send(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// alive reports whether the peer has neither closed the connection nor sent unsolicited bytes.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return peekEmpty(tcp)
	}
	return c.pollEmpty()
}

// peekEmpty reports whether the socket is open with nothing to read; it does not block.
func peekEmpty(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var buffer [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, errno := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errno == syscall.EAGAIN
	})
	return err == nil && empty
}

// pollEmpty is peekEmpty for connections that are not TCP sockets.
func (c *conn) pollEmpty() bool {
	if err := c.SetReadDeadline(expiredDeadline); err != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	return os.IsTimeout(err) && c.SetReadDeadline(time.Time{}) == nil
}
