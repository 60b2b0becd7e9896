package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const host = "nony24.example"

func (r *rig) memberAddresses() []string {
	var all []string
	for i := range members {
		all = append(all, r.address(memberIP(i), portOuter))
	}
	return all
}

// call sends a request with a JSON body, follows two redirects and returns the answer.
func (r *rig) call(method, address, path, hostName string, body any, most time.Duration) (int, object, error) {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	url := "http://" + address + path
	for range 3 {
		request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
		if err != nil {
			return 0, nil, err
		}
		if body == nil {
			request.Body, request.ContentLength = http.NoBody, 0
		}
		request.Header.Set("Content-Type", "application/json")
		if hostName != "" {
			request.Host = hostName
			request.Header.Set(word("caller deadline"), strconv.FormatInt(most.Milliseconds(), 10))
		}
		client := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		if err != nil {
			return 0, nil, err
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if response.StatusCode == http.StatusTemporaryRedirect {
			url = response.Header.Get("Location")
			continue
		}
		answer := object{}
		if len(text) > 0 {
			json.Unmarshal(text, &answer) //nolint:errcheck // not every answer has a body that is an object
		}
		return response.StatusCode, answer, nil
	}
	return 0, nil, errors.New("too many redirects")
}

// queue is a route of the configuration.
type queue struct {
	name     string
	prefix   string
	priority int
	attempts int
}

func (q queue) route() object {
	return object{
		"name": q.name, "host": host, word("prefix"): q.prefix, "kind": "unsafe", word("timeout"): 3000, word("latency"): 1000,
		"priority": q.priority, "service": pool, word("attempts"): q.attempts, "stretch": 2.0,
	}
}

// configure has a configuration acknowledged by any member.
func (r *rig) configure(version int, queues ...queue) error {
	return r.configureAt(r.members[0], version, queues...)
}

// configureAt has a configuration acknowledged, by the given member if it does so at once.
func (r *rig) configureAt(first *process, version int, queues ...queue) error {
	routes := []object{}
	for _, q := range queues {
		routes = append(routes, q.route())
	}
	body := object{
		"version": version, "routes": routes,
		"services": []object{{"name": pool, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0, "enforces-capacity": false, "spare": false}},
		"limits":   object{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	addresses := append([]string{first.outer()}, r.memberAddresses()...)
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, address := range addresses {
			status, _, err := r.call(http.MethodPut, address, word("configuration"), "", body, time.Second)
			r.note("operator: configuration %d with %d routes: %s", version, len(routes), outcome(status, err))
			if err == nil && status == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("configuration %d was not acknowledged", version)
}

func outcome(status int, err error) string {
	if err != nil {
		return "no answer (" + err.Error() + ")"
	}
	return strconv.Itoa(status)
}

// submission returns the body of a submission whose tasks do the given work.
func submission(w work, steps ...object) object {
	spec, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return object{"spec": string(spec), "steps": steps}
}

// ask sends a client's request to a gateway.
func (r *rig) ask(gateway int, method, path string, body any, most time.Duration) (int, object, error) {
	status, answer, err := r.call(method, r.address(gatewayIP(gateway), portOuter), path, host, body, most)
	r.note("client: %s %s at %s: %s %v", method, path, r.gateways[gateway].name, outcome(status, err), answer)
	return status, answer, err
}

// submit hands a submission in, again where the answer leaves open whether it was accepted.
func (r *rig) submit(path string, body object) error {
	for try := range 20 {
		status, _, err := r.ask(try%gates, http.MethodPost, path, body, 3*time.Second)
		if err == nil && status/100 == 2 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("submission %s was not accepted", path)
}

// state returns the state of a submission as a gateway gives it, or the status of its answer.
func (r *rig) state(path string) string {
	status, answer, err := r.ask(0, http.MethodGet, path, nil, 3*time.Second)
	if err != nil || status != http.StatusOK {
		return outcome(status, err)
	}
	return answer.text("state")
}

// awaitState waits until a submission has one of some states and returns the last one that was seen.
func (r *rig) awaitState(path string, most time.Duration, wanted ...string) string {
	last := ""
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		last = r.state(path)
		for _, w := range wanted {
			if last == w {
				return last
			}
		}
	}
	return last
}
