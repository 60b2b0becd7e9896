package fakelink_test

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"daisyswitch/fakelink"

	"gotest.tools/v3/assert"
)

// quiet is how long a read waits before the test considers the link silent.
const quiet = 50 * time.Millisecond

// echo starts an echo server and a link to it.
func echo(t *testing.T) *fakelink.Link {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { server.Close() })
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(conn, conn); conn.Close() }()
		}
	}()
	l, err := fakelink.New([]fakelink.Forward{{Listen: "127.0.0.1:0", To: server.Addr().String(), From: portOf}})
	assert.NilError(t, err)
	return l
}

func portOf(a net.Addr, _ time.Time) string {
	return strconv.Itoa(a.(*net.TCPAddr).Port)
}

func dial(t *testing.T, l *fakelink.Link) net.Conn {
	conn, err := net.Dial("tcp", l.Addresses()[0])
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func write(t *testing.T, conn net.Conn, s string) {
	_, err := conn.Write([]byte(s))
	assert.NilError(t, err)
}

func expect(t *testing.T, conn net.Conn, s string) {
	got := make([]byte, len(s))
	conn.SetReadDeadline(time.Time{})
	_, err := io.ReadFull(conn, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), s)
}

func expectNothing(t *testing.T, conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(quiet))
	n, err := conn.Read(make([]byte, 1))
	assert.Equal(t, n, 0)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestSilenceHoldsWhatIsSentAndThenPassesIt(t *testing.T) {
	l := echo(t)
	conn := dial(t, l)
	write(t, conn, "a")
	expect(t, conn, "a")
	assert.NilError(t, l.Set(fakelink.Silent))
	write(t, conn, "b")
	later := dial(t, l)
	write(t, later, "c")
	expectNothing(t, conn)
	expectNothing(t, later)
	assert.NilError(t, l.Set(fakelink.Pass))
	expect(t, conn, "b")
	expect(t, later, "c")
	assert.NilError(t, l.Close())
}

func TestForgottenConnectionsStaySilentWhileNewOnesWork(t *testing.T) {
	l := echo(t)
	conn := dial(t, l)
	write(t, conn, "a")
	expect(t, conn, "a")
	assert.NilError(t, l.Set(fakelink.Forget))
	write(t, conn, "b")
	later := dial(t, l)
	write(t, later, "c")
	expect(t, later, "c")
	expectNothing(t, conn)
	assert.NilError(t, l.Set(fakelink.Pass))
	expectNothing(t, conn)
	assert.NilError(t, l.Close())
}

func TestOneWayHoldsWhatGoesTowardsTheForwardedAddress(t *testing.T) {
	l := echo(t)
	conn := dial(t, l)
	write(t, conn, "a")
	expect(t, conn, "a")
	assert.NilError(t, l.Set(fakelink.SilentTowards))
	write(t, conn, "b")
	expectNothing(t, conn)
	assert.NilError(t, l.Set(fakelink.Pass))
	expect(t, conn, "b")
	assert.NilError(t, l.Close())
}

func TestSlowDelaysBothWays(t *testing.T) {
	l := echo(t)
	conn := dial(t, l)
	assert.NilError(t, l.Set(fakelink.Slow))
	began := time.Now()
	write(t, conn, "a")
	expect(t, conn, "a")
	assert.Assert(t, time.Since(began) >= 2*fakelink.SlowTime)
	assert.NilError(t, l.Close())
}

func TestResetEndsOpenConnectionsOnly(t *testing.T) {
	l := echo(t)
	conn := dial(t, l)
	write(t, conn, "a")
	expect(t, conn, "a")
	assert.NilError(t, l.Set(fakelink.Reset))
	conn.SetReadDeadline(time.Time{})
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	later := dial(t, l)
	write(t, later, "c")
	expect(t, later, "c")
	assert.NilError(t, l.Close())
}

func TestModeOfOneSourceLeavesOthersAlone(t *testing.T) {
	l := echo(t)
	one, other := dial(t, l), dial(t, l)
	assert.NilError(t, l.SetFrom(portOf(one.LocalAddr(), time.Now()), fakelink.Silent))
	write(t, one, "a")
	write(t, other, "b")
	expect(t, other, "b")
	expectNothing(t, one)
	assert.NilError(t, l.Set(fakelink.Pass))
	expect(t, one, "a")
	assert.NilError(t, l.Close())
}

func TestCloseEndsConnectionsInEveryMode(t *testing.T) {
	for _, mode := range []fakelink.Mode{fakelink.Pass, fakelink.Silent, fakelink.SilentTowards, fakelink.Slow, fakelink.Forget, fakelink.Reset} {
		l := echo(t)
		conn := dial(t, l)
		assert.NilError(t, l.Set(mode))
		if _, err := conn.Write([]byte("a")); mode != fakelink.Reset || !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
			assert.NilError(t, err, "mode %v", mode)
		}
		assert.NilError(t, l.Close())
		conn.SetReadDeadline(time.Time{})
		io.ReadAll(conn)
		conn.Close()
	}
	l := echo(t)
	assert.ErrorContains(t, l.Set("loud"), "not one of")
	assert.NilError(t, l.Close())
}

// TestBytesOfAResetConnectionAreNotDelivered guards against bytes that are delivered once a partition has ended, though their sender has reset the connection.
func TestBytesOfAResetConnectionAreNotDelivered(t *testing.T) {
	for _, opened := range []fakelink.Mode{fakelink.Pass, fakelink.Silent} {
		t.Run("opened in mode "+string(opened), func(t *testing.T) {
			server, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer server.Close()
			received := make(chan string, 1)
			go func() {
				conn, err := server.Accept()
				if err != nil {
					received <- ""
					return
				}
				b, _ := io.ReadAll(conn)
				received <- string(b)
			}()
			l, err := fakelink.New([]fakelink.Forward{{Listen: "127.0.0.1:0", To: server.Addr().String()}})
			assert.NilError(t, err)
			defer l.Close()
			assert.NilError(t, l.Set(opened))
			conn := dial(t, l)
			if opened == fakelink.Pass {
				write(t, conn, "before ")
				time.Sleep(quiet)
			}
			assert.NilError(t, l.Set(fakelink.Silent))
			write(t, conn, "held")
			time.Sleep(quiet)
			assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
			conn.Close()
			time.Sleep(quiet)
			assert.NilError(t, l.Set(fakelink.Pass))
			time.Sleep(quiet)
			server.Close()
			got := <-received
			assert.Assert(t, got == "" || got == "before ", "%q was delivered", got)
		})
	}
}
