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

// serveRole runs a bare upstream or an entry in a separate process, so that its CPU time can be measured separately. It returns when stdin is closed.
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

// startRole runs a role on one core. It returns its address and a function that stops it and returns the CPU time used.
func startRole(b *testing.B, role string) (address string, stop func() time.Duration) {
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

// runLoad sends requests over persistent connections, one at a time on each, and returns the median latency.
func runLoad(b testing.TB, address, method string, connections, requests int) time.Duration {
	var mu sync.Mutex
	var all []time.Duration
	var group sync.WaitGroup
	for range connections {
		group.Go(func() {
			raw, err := net.Dial("tcp", address)
			assert.Check(b, err)
			defer raw.Close()
			reader := bufio.NewReader(raw)
			latencies := make([]time.Duration, requests)
			for i := range latencies {
				began := time.Now()
				fmt.Fprintf(raw, "%s / HTTP/1.1\r\nHost: x\r\nDaisyswitch-Class: bids\r\nContent-Length: 0\r\n\r\n", method)
				resp, err := http.ReadResponse(reader, nil)
				if !assert.Check(b, err) || !assert.Check(b, resp.StatusCode == http.StatusOK, "%v", resp) {
					return
				}
				io.Copy(io.Discard, resp.Body)
				latencies[i] = time.Since(began)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, latencies...)
		})
	}
	group.Wait()
	slices.Sort(all)
	return all[len(all)/2]
}

// BenchmarkAgainstBareUpstream compares an entry with the net/http upstream behind it, in the same run, each on one core.
// It reports the median latency that the entry adds, and its requests per second of CPU time relative to the upstream's, as medians of five rounds.
func BenchmarkAgainstBareUpstream(b *testing.B) {
	const rounds, connections, requests = 5, 32, 1000
	for _, method := range []string{"GET", "POST"} {
		b.Run(method, func(b *testing.B) {
			for b.Loop() {
				var ratios, added, bares []float64
				for range rounds {
					up, stopUp := startRole(b, "upstream")
					runLoad(b, up, method, connections, requests)
					bare := stopUp()
					up, stopUp = startRole(b, "upstream")
					entry, stopEntry := startRole(b, up)
					runLoad(b, entry, method, connections, requests)
					ratios = append(ratios, bare.Seconds()/stopEntry().Seconds())
					entry, stopEntry = startRole(b, up)
					direct, through := runLoad(b, up, method, 1, requests), runLoad(b, entry, method, 1, requests)
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

// BenchmarkIdleCallers reports the memory that 400 idle caller connections use after one request each.
func BenchmarkIdleCallers(b *testing.B) {
	const callers, allowedMB = 400, 16
	for b.Loop() {
		f := newFake(b, healthy)
		e := newServingEntry(b, caller.Options{}, f.Addr())
		before := memoryInUse()
		answer := make([]byte, 4096)
		for range callers {
			raw, _ := e.dial(b)
			fmt.Fprint(raw, "GET / HTTP/1.1\r\nHost: x\r\nDaisyswitch-Class: bids\r\n\r\n")
			_, err := raw.Read(answer)
			assert.NilError(b, err)
		}
		cost := float64(memoryInUse()-before) / (1 << 20)
		b.ReportMetric(cost, "MB/400-idle")
		assert.Check(b, cost < allowedMB)
	}
}

// memoryInUse returns the bytes of heap and stack in use after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
