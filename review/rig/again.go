package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

// lateOrder holds one start that the leader sends to an executor, and delivers it later.
type lateOrder struct {
	mu       sync.Mutex // guards the fields below
	armed    bool
	held     []byte // nil until a start is held
	executor int
}

// forward passes channels on to an executor, but for the start that is held.
func (o *lateOrder) forward(r *rig, executor int, listener net.Listener) {
	for {
		outer, err := listener.Accept()
		if err != nil {
			return
		}
		inner, err := net.Dial("tcp", r.address(hiddenIP(executor), portExecutor))
		if err != nil {
			outer.Close()
			continue
		}
		c := &channel{outer: outer, inner: inner}
		go func() {
			c.passAnswers()
			c.close()
		}()
		go func() {
			o.passOrders(c, executor)
			c.close()
		}()
	}
}

// passOrders passes on what the leader sends on a channel. From the start that is held on, the channel gets no answer.
func (o *lateOrder) passOrders(c *channel, executor int) {
	buffer, holds := make([]byte, 32<<10), false
	for {
		n, err := c.outer.Read(buffer)
		if err != nil {
			return
		}
		holds = holds || o.take(executor, buffer[:n])
		if holds {
			continue
		}
		if _, err := c.inner.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// take reports whether an order is the one to hold, and keeps it.
func (o *lateOrder) take(executor int, order []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.armed || o.held != nil || !bytes.Contains(order, []byte("POST "+word("start")+" ")) {
		return false
	}
	o.held, o.executor = bytes.Clone(order), executor
	return true
}

// arm has the next start held.
func (o *lateOrder) arm() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.armed, o.held = true, nil
}

// taken returns the executor whose start is held, -1 if none is.
func (o *lateOrder) taken() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held == nil {
		return -1
	}
	return o.executor
}

// deliver carries the held start to whatever listens at the executor's address.
func (o *lateOrder) deliver(r *rig) error {
	o.mu.Lock()
	held, executor := o.held, o.executor
	o.armed = false
	o.mu.Unlock()
	connection, err := net.Dial("tcp", r.address(hiddenIP(executor), portExecutor))
	if err != nil {
		return err
	}
	defer connection.Close()
	if _, err := connection.Write(held); err != nil {
		return err
	}
	connection.SetReadDeadline(time.Now().Add(time.Second)) //nolint:errcheck // the read fails at once
	answer := make([]byte, 200)
	n, _ := connection.Read(answer)
	r.note("the held start is delivered, and answered with %q", bytes.SplitN(answer[:n], []byte("\r\n"), 2)[0])
	return nil
}

// againCase has an order executed late, by the next life of an executor that crashes. A task that was done must not start again.
func againCase(r *rig) (bool, error) {
	const executors, rounds = 8, 4
	q := queue{name: "r-d3zji9n", prefix: "/pufi791/", attempts: 2}
	if err := r.configure(1, q); err != nil {
		return false, err
	}
	order, lives := &lateOrder{}, make([]*executor, executors)
	for i := range lives {
		listener, err := net.Listen("tcp", r.address(executorIP(i), portExecutor))
		if err != nil {
			return false, err
		}
		defer listener.Close()
		go order.forward(r, i, listener)
		if lives[i], err = r.newHiddenExecutor(i, 16000); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	broken := false
	for round := range rounds {
		again, err := r.playLateOrder(order, lives, fmt.Sprintf("%s%016x", q.prefix, 0x5c0e7a21d94b36f8+round))
		if err != nil {
			return false, err
		}
		broken = broken || again
		time.Sleep(8 * time.Second)
	}
	return broken, nil
}

// playLateOrder plays one round and reports whether the task started again after it was done.
func (r *rig) playLateOrder(order *lateOrder, lives []*executor, path string) (bool, error) {
	before := r.now()
	if r.trouble {
		order.arm()
	}
	body := submission(work{MS: 700, CPU: 1000}, object{"count": 1, "cpu": 1000, word("memory"): 256, word("estimate"): 700})
	if err := r.submit(path, body); err != nil {
		return false, err
	}
	if last := r.awaitState(path, 10*time.Second, "completed"); last != "completed" {
		return false, fmt.Errorf("the submission is %s", last)
	}
	time.Sleep(1200 * time.Millisecond)
	if i := order.taken(); r.trouble && i >= 0 {
		r.note("%s crashes, and starts again under its id", lives[i].id)
		lives[i].end()
		time.Sleep(500 * time.Millisecond)
		var err error
		if lives[i], err = r.newHiddenExecutor(i, 16000); err != nil {
			return false, err
		}
		if err := order.deliver(r); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	again := r.startsOfDone(before)
	r.note("submission %s: completed, %d starts of its task, %d of them after a run had been done and noted", path, len(r.startsSince(before)), len(again))
	return len(again) > 0, nil
}
