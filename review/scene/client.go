package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Times of the callers and of the operator.
const (
	callerDeadline = 3 * time.Second
	operatorTries  = 40
	operatorPause  = 250 * time.Millisecond
)

// client follows no more than two redirections and keeps no connections.
var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("too many redirections")
		}
		return nil
	},
}

// send sends a request and returns the status, 0 without an answer, and the body.
func (d *deployment) send(ctx context.Context, method, url, host string, body any, timeout time.Duration) (int, map[string]any, error) {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(words["deadline_header"], fmt.Sprint(timeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	reply := map[string]any{}
	json.Unmarshal(content, &reply) //nolint:errcheck // some answers have no body
	return response.StatusCode, reply, nil
}

// call sends a caller's request to a gateway and records it.
func (d *deployment) call(gateway int, method, host, path string, body any) (int, map[string]any) {
	g := d.gateways[gateway]
	d.note("caller: %s %s%s to %s", method, host, path, g.name)
	status, reply, err := d.send(context.Background(), method, fmt.Sprintf("http://%s:%d%s", g.ip, callerPort, path), host, body, callerDeadline)
	d.note("caller: %s %s%s to %s is answered: %d %v %v", method, host, path, g.name, status, reply, errorText(err))
	return status, reply
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// order sends an operator's order to one member after the other until it is acknowledged or refused.
func (d *deployment) order(method, path string, body any) error {
	for try := range operatorTries {
		m := d.members[try%len(d.members)]
		status, _, err := d.send(context.Background(), method, fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, path), "", body, time.Second)
		d.note("operator: %s %s to %s is answered: %d %s", method, path, m.name, status, errorText(err))
		switch {
		case status/100 == 2:
			return nil
		case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
			return fmt.Errorf("%s %s was refused with %d", method, path, status)
		}
		time.Sleep(operatorPause)
	}
	return fmt.Errorf("%s %s was not acknowledged", method, path)
}

// route is one route of a configuration.
type route struct{ name, host, prefix, pool string }

// configure sends a complete configuration.
func (d *deployment) configure(version int, pools []string, routes ...route) error {
	var listed, services []map[string]any
	for _, r := range routes {
		listed = append(listed, map[string]any{
			"name": r.name, "host": r.host, words["prefix"]: r.prefix, "kind": "unsafe", "timeout-ms": 3000, words["objective"]: 1000,
			"priority": 0, "service": r.pool, words["attempts"]: 3, "stretch": 2.0,
		})
	}
	for _, p := range pools {
		services = append(services, map[string]any{
			"name": p, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0, "enforces-capacity": false, "spare": false,
		})
	}
	d.note("operator: version %d has the routes %v", version, routes)
	return d.order(http.MethodPut, words["config"], map[string]any{
		"version": version, "routes": listed, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// submission returns the body of a submission with one step.
func submission(w work, count int, more map[string]any) map[string]any {
	spec, _ := json.Marshal(w)
	step := map[string]any{"count": count, "cpu": 4000, "mem-mb": 8000, words["estimate"]: w.MS}
	if w.Lasts {
		step["persistent"] = true
	}
	for k, v := range more {
		step[k] = v
	}
	return map[string]any{"spec": string(spec), "steps": []any{step}}
}
