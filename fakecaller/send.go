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

// request is what one request sends.
type request struct {
	id     string
	method string
	body   []byte
}

// send tries the entries until one takes the connection; only a refused connection moves on, as nothing can have run then.
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
		return failed(told, err)
	}
	out.GetBody = nil // the client must not send a body twice by itself
	out.Header.Set(headerClass, c.options.Class)
	out.Header.Set(headerRequestID, r.id)
	out.Header.Set(headerTimeout, strconv.FormatInt(c.options.Timeout.Milliseconds(), 10))
	response, err := c.http.Do(out)
	if err != nil {
		return failed(told, err)
	}
	defer response.Body.Close()
	told.Status = response.StatusCode
	told.Verdict = response.Header.Get(headerVerdict)
	body, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if err != nil {
		return failed(told, err)
	}
	return judge(told, body, r)
}

// failed tells apart no connection at all, nothing in time, and a visible break.
func failed(told standin.Told, err error) standin.Told {
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

// cause returns the innermost reason, without addresses, so that like failures count together.
func cause(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

// refusal is the body of an answer that is daisyswitch's own.
type refusal struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Code    string `json:"code"`
}

// judge reads a complete answer: a verdict of daisyswitch, or the upstream's word, which must be whole and its own.
func judge(told standin.Told, body []byte, r request) standin.Told {
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
