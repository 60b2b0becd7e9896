package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// forwardedBlock is the block of addresses on which members listen behind forwarders.
const forwardedBlock = 6

// forwarder passes on the connections between processes to one member. A connection can be silenced: from then on it passes nothing and stays open, while new ones work.
type forwarder struct {
	listener net.Listener
	target   string
	trigger  *trigger

	mu    sync.Mutex
	conns []net.Conn
}

// trigger silences the first connection that has passed a text towards a member.
type trigger struct {
	mu    sync.Mutex
	text  []byte // nil if it is not armed
	fired chan struct{}
}

// arm makes the next connection that passes a text silent, and returns a channel that is closed then.
func (t *trigger) arm(text string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text, t.fired = []byte(text), make(chan struct{})
	return t.fired
}

// fires reports whether the text is in what a connection has just passed.
func (t *trigger) fires(passed []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.text == nil || !bytes.Contains(passed, t.text) {
		return false
	}
	t.text = nil
	close(t.fired)
	return true
}

// forwardMembers puts a forwarder before each member's address for other processes.
func (d *deployment) forwardMembers(t *trigger) error {
	for i, m := range d.members {
		behind := fmt.Sprintf("%s.%d.%d:%d", d.network, forwardedBlock, i+1, innerPort)
		listener, err := net.Listen("tcp", m.settings["inner"].(string))
		if err != nil {
			return err
		}
		m.settings["inner_listen"] = behind
		f := &forwarder{listener: listener, target: behind, trigger: t}
		d.forwarders = append(d.forwarders, f)
		go f.accept()
	}
	return nil
}

func (f *forwarder) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		onward, err := net.Dial("tcp", f.target)
		if err != nil {
			conn.Close()
			continue
		}
		f.mu.Lock()
		f.conns = append(f.conns, conn, onward)
		f.mu.Unlock()
		silent := &atomic.Bool{}
		go f.pass(conn, onward, silent, true)
		go f.pass(onward, conn, silent, false)
	}
}

// pass copies one direction of a connection until it ends. A silent connection is read and nothing is passed on, not even its end.
func (f *forwarder) pass(from, to net.Conn, silent *atomic.Bool, towardsMember bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !silent.Load() {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
			if towardsMember && f.trigger.fires(buffer[:n]) {
				silent.Store(true)
			}
		}
		if err != nil {
			if !silent.Load() {
				to.Close()
			}
			return
		}
	}
}

func (f *forwarder) close() {
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.Close()
	}
}
