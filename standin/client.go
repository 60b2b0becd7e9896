package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const answerLimit = 8 << 20

// Client posts JSON to the entries of a domain. It uses one entry until a request fails, then the next.
type Client struct {
	Entries []string                                                             // host:port
	Dial    func(ctx context.Context, network, address string) (net.Conn, error) // nil dials the network

	next int
	http *http.Client
}

// Post sends body to path at the current entry and decodes the response into reply, which may be nil. After any failure the next Post uses the next entry.
func (c *Client) Post(ctx context.Context, path string, timeout time.Duration, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	entry := c.Entries[c.next%len(c.Entries)]
	err := c.post(ctx, "http://"+entry+path, body, reply)
	if err != nil {
		c.next++
		return fmt.Errorf("post to %s: %w", entry, err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, url string, body, reply any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d: %.200s", response.StatusCode, answer)
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(answer, reply)
}

func (c *Client) client() *http.Client {
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{DialContext: c.Dial, MaxIdleConnsPerHost: 1}}
	}
	return c.http
}

// Close closes idle connections; no Post may be in progress.
func (c *Client) Close() error {
	c.client().CloseIdleConnections()
	return nil
}
