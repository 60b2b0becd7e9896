package metric_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"daisyswitch/metric"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func get(t *testing.T, s *metric.Server, path string) (int, string) {
	response, err := http.Get("http://" + s.Address() + path)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body)
}

func TestHealthFollowsTheProcess(t *testing.T) {
	var notReady error
	s, err := metric.New(metric.Options{Address: "127.0.0.1:0", Ready: func() error { return notReady }})
	assert.NilError(t, err)
	status, _ := get(t, s, "/ready")
	assert.Equal(t, status, http.StatusOK)
	notReady = errors.New("no configuration yet")
	status, body := get(t, s, "/ready")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "no configuration yet\n")
	status, _ = get(t, s, "/live")
	assert.Equal(t, status, http.StatusOK)
	assert.NilError(t, s.Close())
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t)
}

func TestMetricsShowOwnSetsAndTheProcess(t *testing.T) {
	set := metrics.NewSet()
	set.NewCounter("requests_total").Add(7)
	s, err := metric.New(metric.Options{Address: "127.0.0.1:0", Sets: []*metrics.Set{set}})
	assert.NilError(t, err)
	defer s.Close()
	_, body := get(t, s, "/metrics")
	assert.Assert(t, strings.Contains(body, "requests_total 7\n"))
	assert.Assert(t, strings.Contains(body, "process_cpu_seconds_total"))
}

func TestTakenAddressIsAnError(t *testing.T) {
	s, err := metric.New(metric.Options{Address: "127.0.0.1:0"})
	assert.NilError(t, err)
	defer s.Close()
	_, err = metric.New(metric.Options{Address: s.Address()})
	assert.ErrorContains(t, err, "address already in use")
}
