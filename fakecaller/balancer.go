package fakecaller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	checkEvery   = time.Second // mean interval; randomized so that checks don't synchronize with other periodic work
	checkTimeout = 400 * time.Millisecond
)

// balancer spreads requests over the entries that report ready, as the platform's load balancer does.
type balancer struct {
	entries    []string
	admins     []string
	http       *http.Client
	checksDone atomic.Int64 // number of completed readiness checks

	mu    sync.Mutex // guards ready
	ready map[string]bool
}

func newBalancer(entries, admins []string) *balancer {
	b := &balancer{entries: entries, admins: admins, http: &http.Client{Timeout: checkTimeout}, ready: map[string]bool{}}
	for _, entry := range entries {
		b.ready[entry] = true
	}
	return b
}

// watch checks the readiness of each entry periodically until ctx is done.
func (b *balancer) watch(ctx context.Context) {
	defer b.http.CloseIdleConnections()
	for {
		for i, admin := range b.admins {
			ready := b.checkReady(ctx, admin)
			b.mu.Lock()
			b.ready[b.entries[i]] = ready
			b.mu.Unlock()
			b.checksDone.Add(1)
		}
		select {
		case <-time.After(checkEvery/2 + rand.N(checkEvery)):
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) checkReady(ctx context.Context, admin string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := b.http.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// order returns the entries to try, in random order, ready ones first.
func (b *balancer) order() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready, others []string
	for _, i := range rand.Perm(len(b.entries)) {
		entry := b.entries[i]
		if b.ready[entry] {
			ready = append(ready, entry)
		} else {
			others = append(others, entry)
		}
	}
	return append(ready, others...)
}
