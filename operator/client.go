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

const requestTimeout = 8 * time.Second // for one request to one entry

// Client calls the administration interface at any of several entries.
type Client struct {
	Entries  []string // host:port of the entries' operator listeners, tried in this order
	Operator string   // name under which changes are recorded
	HTTP     *http.Client
}

// ChangeNumber identifies a change. A change that is sent again with the same sequence is not made twice but gets its first answer.
type ChangeNumber struct {
	Sequence    uint64
	BaseVersion uint64 // ignored for jobs
}

// Get requests path from an entry and decodes the response into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, nil, out)
}

// Change sends a change and returns its result, whatever the outcome. If an entry does not answer, it sends the same change to the next one.
func (c *Client) Change(ctx context.Context, method, path string, n ChangeNumber, body any) (*Result, error) {
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

// call tries the entries in turn. It may send a request more than once, since reads and numbered changes are idempotent.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body, out any) error {
	if len(c.Entries) == 0 {
		return errors.New("no entry address is given")
	}
	unknown := false
	var err error
	for _, entry := range c.Entries {
		err = c.tryEntry(ctx, entry, method, path, header, body, out)
		if err == nil || isRefusal(err) {
			return err
		}
		unknown = unknown || verdict.Of(err) != verdict.NotRun
	}
	if unknown && verdict.Of(err) == verdict.NotRun {
		return verdict.New(verdict.Unknown, "an earlier attempt may have taken effect", err)
	}
	return err
}

// errRefused marks an error of the request itself, which every entry would refuse in the same way.
var errRefused = errors.New("refused")

func isRefusal(err error) bool {
	return errors.Is(err, errRefused)
}

func (c *Client) tryEntry(ctx context.Context, entry, method, path string, header http.Header, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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
			return verdict.New(verdict.Unknown, fmt.Sprintf("response of entry %s cannot be decoded", entry), err)
		}
		return nil
	}
	return responseError(response.StatusCode, decoder)
}

// sendVerdict returns NotRun if no connection was made, otherwise Unknown.
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

func responseError(status int, decoder *json.Decoder) error {
	var failure Failure
	if err := decoder.Decode(&failure); err != nil {
		return verdict.New(verdict.Unknown, fmt.Sprintf("response with status %d has no valid error body", status), err)
	}
	var cause error
	if status < http.StatusInternalServerError {
		cause = errRefused
	}
	return verdict.New(verdict.Parse(failure.Verdict), failure.Reason, cause)
}
