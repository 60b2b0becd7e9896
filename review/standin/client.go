package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"
)

// call sends one request and returns the status and the body, 0 if there was no complete response. It follows no redirects.
func (in *installation) call(method, address, path, host string, content []byte, wait time.Duration) (int, []byte) {
	status, answer, _ := in.callFollowing(method, address, path, host, content, wait, 0)
	return status, answer
}

// callFollowing is call with a number of redirects that are followed; it also returns the address that answered.
func (in *installation) callFollowing(method, address, path, host string, content []byte, wait time.Duration, redirects int) (int, []byte, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var reader io.Reader
	if content != nil {
		reader = bytes.NewReader(content)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return 0, nil, address
	}
	if host != "" {
		request.Host = host
		request.Header.Set(word("deadline_header"), fmt.Sprint(wait.Milliseconds()))
	}
	if content != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := in.client.Do(request)
	if err != nil {
		return 0, nil, address
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, address
	}
	if response.StatusCode == http.StatusTemporaryRedirect && redirects > 0 {
		if target, err := url.Parse(response.Header.Get("Location")); err == nil {
			return in.callFollowing(method, target.Host, target.Path, host, content, wait, redirects-1)
		}
	}
	return response.StatusCode, answer, address
}

// route is a route of a config.
type route struct {
	name, prefix string
	maxAttempts  int
}

// configuration returns a config with the one route of the cases.
func (in *installation) configuration(version int) body {
	return configurationOf(version, route{routeName, prefix, maxAttempts})
}

func configurationOf(version int, routes ...route) body {
	var all []body
	for _, r := range routes {
		all = append(all, body{
			"name": r.name, "host": hostName, word("prefix"): r.prefix, "kind": "unsafe", word("timeout"): 3000,
			word("latency"): 1000, "priority": 0, "service": pool, word("attempts"): r.maxAttempts, "stretch": 2.0,
		})
	}
	return body{
		"version": version, "routes": all,
		"services": []body{{"name": pool, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0, "enforces-capacity": false, "spare": false}},
		"limits":   body{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// configure sends a config to members in turn until one acknowledges it.
func (in *installation) configure(c body) error {
	return in.order(http.MethodPut, word("configuration"), encode(c))
}

func (in *installation) order(method, path string, content []byte) error {
	deadline := time.Now().Add(startTimeout)
	for try := 0; time.Now().Before(deadline); try++ {
		m := in.members[try%len(in.members)]
		status, _, at := in.callFollowing(method, in.address(m.ip, controlPort), path, "", content, operatorWait, 2)
		in.note("operator", "order", method+" "+path, "member", at, "status", status)
		if status >= 200 && status < 300 {
			return nil
		}
		if status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			return fmt.Errorf("%s %s: refused with %d", method, path, status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s %s: not acknowledged", method, path)
}

// step is a step of a submission.
type step struct {
	count    int
	milliCPU int
	requires string
}

func (s step) body() body {
	b := body{"count": s.count, "cpu": s.milliCPU, word("memory"): s.milliCPU / 64, word("estimate"): 1000}
	if s.requires != "" {
		b["requires"] = s.requires
	}
	return b
}

// workTime is how long a task works: at least shortest, and shorter than the sum of both.
type workTime struct{ shortest, spread time.Duration }

func (w workTime) draw() time.Duration {
	if w.spread == 0 {
		return w.shortest
	}
	return w.shortest + rand.N(w.spread)
}

// newID draws the id of a submission whose tasks take the given time.
func (in *installation) newID(work workTime) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	in.mu.Lock()
	defer in.mu.Unlock()
	in.work[id] = work
	return id
}

func (in *installation) workOf(id string) workTime {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.work[id]
}

var errNotAccepted = errors.New("a submission was not accepted")

// submit hands a submission in until it is accepted.
func (in *installation) submit(id string, steps ...step) error {
	var all []body
	for _, s := range steps {
		all = append(all, s.body())
	}
	content := encode(body{"spec": "payload of " + id, "steps": all})
	for try := range 20 {
		status, _ := in.request(http.MethodPost, try, prefix+id, content)
		if status >= 200 && status < 300 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s", errNotAccepted, id)
}

// request sends a client's request to a gateway and notes the answer.
func (in *installation) request(method string, gateway int, path string, content []byte) (int, []byte) {
	g := in.gateways[gateway%len(in.gateways)]
	status, answer := in.call(method, in.address(g.ip, frontPort), path, hostName, content, requestDeadline)
	in.note("client", "request", method+" "+path, "gateway", g.name, "status", status, "answer", string(bytes.TrimSpace(answer)))
	return status, answer
}

// state asks for the state of a submission.
func (in *installation) state(gateway int, id string) (int, string) {
	status, answer := in.request(http.MethodGet, gateway, prefix+id, nil)
	var reply struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(answer, &reply); err != nil {
		return status, ""
	}
	return status, reply.State
}
