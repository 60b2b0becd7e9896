package fakecaller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"daisyswitch/fakeupstream"
	"daisyswitch/standin"
)

const (
	headerClass     = "Daisyswitch-Class"
	headerRequestID = "Daisyswitch-Request-Id"
	headerTimeout   = "Daisyswitch-Timeout-Ms"
	headerVerdict   = "Daisyswitch-Verdict"
	answerLimit     = 64 << 20
)

// request is one request to send.
type request struct {
	id     string
	method string
	body   []byte
}

// send tries the entries until one accepts the connection. Only a refused connection moves on to the next entry, because the request can't have run then.
func (c *Caller) send(r request) standin.Told {
	var told standin.Told
	sent := time.Now().UnixMicro()
	for _, entry := range c.balancer.order() {
		told = c.sendTo(entry, r)
		if told.Outcome != standin.OutcomeRefused {
			break
		}
	}
	told.SentUS = sent
	return told
}

func (c *Caller) sendTo(entry string, r request) standin.Told {
	told := standin.Told{Entry: entry}
	ctx, cancel := context.WithTimeout(context.Background(), c.options.Timeout+hungGrace)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+entry+"/", bytes.NewReader(r.body))
	if err != nil {
		return classifyError(told, err)
	}
	out.GetBody = nil // prevents the HTTP client from resending the body on its own
	out.Header.Set(headerClass, c.options.Class)
	out.Header.Set(headerRequestID, r.id)
	out.Header.Set(headerTimeout, strconv.FormatInt(c.options.Timeout.Milliseconds(), 10))
	response, err := c.http.Do(out)
	if err != nil {
		return classifyError(told, err)
	}
	defer response.Body.Close()
	told.Status = response.StatusCode
	told.Verdict = response.Header.Get(headerVerdict)
	body, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if err != nil {
		return classifyError(told, err)
	}
	return classifyResponse(told, body, r)
}

// classifyError classifies err as a refused connection, a hung request or a broken response.
func classifyError(told standin.Told, err error) standin.Told {
	told.Reason = cause(err)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		told.Outcome = standin.OutcomeRefused
	case errors.Is(err, context.DeadlineExceeded):
		told.Outcome = standin.OutcomeHung
	default:
		told.Outcome = standin.OutcomeBroken
	}
	return told
}

// cause returns the text of the innermost error, which contains no addresses, so that equal failures are counted together.
func cause(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

// refusal is the body of a response that daisyswitch itself generated.
type refusal struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Code    string `json:"code"`
}

// classifyResponse classifies a complete response: a verdict of daisyswitch, or the response of an upstream, which must be intact and belong to the request.
func classifyResponse(told standin.Told, body []byte, r request) standin.Told {
	if told.Verdict != "" {
		told.Outcome = standin.OutcomeVerdict
		var why refusal
		if err := json.Unmarshal(body, &why); err != nil {
			told.Reason = "untyped body"
			return told
		}
		told.Reason = why.Code
		if why.Verdict != told.Verdict {
			told.Outcome = standin.OutcomeWrong
			told.Reason = "the verdicts of header and body differ"
		}
		return told
	}
	if err := fakeupstream.CheckAnswer(body, r.id, r.body); err != nil {
		told.Outcome = standin.OutcomeWrong
		told.Reason = err.Error()
		return told
	}
	told.Outcome = standin.OutcomeOK
	return told
}
