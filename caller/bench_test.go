package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"daisyswitch/caller"
	"daisyswitch/upstream"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

const roleVariable = "DAISYSWITCH_BENCH_ROLE"

// serveRole runs a bare upstream or an entry in a process of its own, so that its processor time can be told apart; its input ends it.
func serveRole(role string) {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	if role == "upstream" {
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			io.WriteString(w, "done")
		}))
	} else {
		registry := upstream.New(upstream.Options{Name: "e", Domain: "a", Entries: 1})
		f := caller.New(caller.Options{Registry: registry})
		f.SetConfiguration(&wire.Configuration{Classes: []*wire.Class{{Name: "bids"}}})
		announce := func(sequence uint64) {
			registry.Announce(time.Now(), &upstream.Announcement{ID: "u", Address: role, Domain: "a", Classes: []string{"bids"}, Slots: 64, Connections: 64, Sequence: sequence})
		}
		announce(1)
		go func() {
			for sequence := uint64(2); ; sequence++ {
				time.Sleep(time.Second)
				announce(sequence)
			}
		}()
		go f.Serve(l)
	}
	fmt.Println(l.Addr())
	io.Copy(io.Discard, os.Stdin)
}

// start runs a role on one core and returns its address, and what ends it and tells the processor time that it took.
func start(b *testing.B, role string) (address string, stop func() time.Duration) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"="+role, "GOMAXPROCS=1")
	input, output := must(cmd.StdinPipe()), must(cmd.StdoutPipe())
	assert.NilError(b, cmd.Start())
	return strings.TrimSpace(must(bufio.NewReader(output).ReadString('\n'))), func() time.Duration {
		input.Close()
		assert.NilError(b, cmd.Wait())
		return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	}
}

// load sends requests over a number of lasting connections, one at a time on each, and returns the median latency.
func load(b testing.TB, address, method string, connections, each int) time.Duration {
	var mu sync.Mutex
	var all []time.Duration
	var group sync.WaitGroup
	for range connections {
		group.Go(func() {
			raw, err := net.Dial("tcp", address)
			assert.Check(b, err)
			defer raw.Close()
			reader := bufio.NewReader(raw)
			took := make([]time.Duration, each)
			for i := range took {
				began := time.Now()
				fmt.Fprintf(raw, "%s / HTTP/1.1\r\nHost: x\r\nDaisyswitch-Class: bids\r\nContent-Length: 0\r\n\r\n", method)
				resp, err := http.ReadResponse(reader, nil)
				if !assert.Check(b, err) || !assert.Check(b, resp.StatusCode == http.StatusOK, "%v", resp) {
					return
				}
				io.Copy(io.Discard, resp.Body)
				took[i] = time.Since(began)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, took...)
		})
	}
	group.Wait()
	slices.Sort(all)
	return all[len(all)/2]
}

// BenchmarkAgainstBareUpstream compares an entry with the net/http upstream behind it, in the same run, each on one core:
// the latency that it adds at the median, and its requests per second of processor time in relation to the upstream's; medians of five.
func BenchmarkAgainstBareUpstream(b *testing.B) {
	const rounds, connections, each = 5, 32, 1000
	for _, method := range []string{"GET", "POST"} {
		b.Run(method, func(b *testing.B) {
			for b.Loop() {
				var ratios, added, bares []float64
				for range rounds {
					up, stopUp := start(b, "upstream")
					load(b, up, method, connections, each)
					bare := stopUp()
					up, stopUp = start(b, "upstream")
					entry, stopEntry := start(b, up)
					load(b, entry, method, connections, each)
					ratios = append(ratios, bare.Seconds()/stopEntry().Seconds())
					entry, stopEntry = start(b, up)
					direct, through := load(b, up, method, 1, each), load(b, entry, method, 1, each)
					bares = append(bares, float64(direct.Microseconds()))
					added = append(added, float64((through - direct).Microseconds()))
					stopEntry()
					stopUp()
				}
				b.ReportMetric(median(ratios), "per-core-ratio")
				b.ReportMetric(median(added), "added-µs")
				b.ReportMetric(median(bares), "bare-µs")
			}
		})
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// BenchmarkIdleCallers reports what 400 callers' connections cost after a request each.
func BenchmarkIdleCallers(b *testing.B) {
	const callers, allowedMB = 400, 16
	for b.Loop() {
		f := newFake(b, healthy)
		e := serving(b, caller.Options{}, f.Addr())
		before := inUse()
		answer := make([]byte, 4096)
		for range callers {
			raw, _ := e.dial(b)
			fmt.Fprint(raw, "GET / HTTP/1.1\r\nHost: x\r\nDaisyswitch-Class: bids\r\n\r\n")
			_, err := raw.Read(answer)
			assert.NilError(b, err)
		}
		cost := float64(inUse()-before) / (1 << 20)
		b.ReportMetric(cost, "MB/400-idle")
		assert.Check(b, cost < allowedMB)
	}
}

// inUse returns the bytes of heap and stacks in use after a collection.
func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
