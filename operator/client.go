package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"daisyswitch/verdict"
)

const clientTime = 8 * time.Second // longest wait for one entry's answer

// Client calls the administration interface at any of several entries.
type Client struct {
	Entries  []string // host:port of entries' operator listeners
	Operator string   // name that changes are made under
	HTTP     *http.Client
}

// Number identifies a change: resent with the same sequence, it gets its first answer.
type Number struct {
	Sequence    uint64
	BaseVersion uint64 // ignored for jobs
}

// Get reads path into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, nil, out)
}

// Change sends a change and returns its result, whatever the outcome; a lost answer is asked for again at the next entry.
func (c *Client) Change(ctx context.Context, method, path string, n Number, body any) (*Result, error) {
	header := http.Header{}
	header.Set(HeaderOperator, c.Operator)
	header.Set(HeaderSequence, strconv.FormatUint(n.Sequence, 10))
	header.Set(HeaderBaseVersion, strconv.FormatUint(n.BaseVersion, 10))
	var result Result
	if err := c.call(ctx, method, path, header, body, &result); err != nil {
		return nil, err
	}
	return &result, nil
}

// call asks one entry after the other; reads and numbered changes may both be asked for twice.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body, out any) error {
	if len(c.Entries) == 0 {
		return errors.New("no entry is named")
	}
	unknown := false
	var err error
	for _, entry := range c.Entries {
		err = c.once(ctx, entry, method, path, header, body, out)
		if err == nil || final(err) {
			return err
		}
		unknown = unknown || verdict.Of(err) != verdict.NotRun
	}
	if unknown && verdict.Of(err) == verdict.NotRun {
		return verdict.New(verdict.Unknown, "an earlier attempt may have been made", err)
	}
	return err
}

// errRefused marks an answer that no other entry would give differently.
var errRefused = errors.New("refused")

func final(err error) bool {
	return errors.Is(err, errRefused)
}

func (c *Client) once(ctx context.Context, entry, method, path string, header http.Header, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTime)
	defer cancel()
	request, err := newRequest(ctx, entry, method, path, header, body)
	if err != nil {
		return err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return verdict.New(sendVerdict(err), fmt.Sprintf("no answer from entry %s", entry), err)
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict, http.StatusUnprocessableEntity:
		if err := decoder.Decode(out); err != nil {
			return verdict.New(verdict.Unknown, fmt.Sprintf("broken answer from entry %s", entry), err)
		}
		return nil
	}
	return failed(response.StatusCode, decoder)
}

// sendVerdict says NotRun where no connection was made.
func sendVerdict(err error) verdict.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.Unknown
}

func newRequest(ctx context.Context, entry, method, path string, header http.Header, body any) (*http.Request, error) {
	var content bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&content).Encode(body); err != nil {
			return nil, fmt.Errorf("encode body: %w", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, &content)
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", entry, err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	return request, nil
}

func failed(status int, decoder *json.Decoder) error {
	var failure Failure
	if err := decoder.Decode(&failure); err != nil {
		return verdict.New(verdict.Unknown, fmt.Sprintf("status %d without a reason", status), err)
	}
	var cause error
	if status < http.StatusInternalServerError {
		cause = errRefused
	}
	return verdict.New(verdict.Parse(failure.Verdict), failure.Reason, cause)
}
