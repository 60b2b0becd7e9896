package replica_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"daisyswitch/replica"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

const recordBytes = 200

// process is a replica that listens on a loopback address.
type process struct {
	*replica.Replica
	listener net.Listener
	applied  atomic.Int64
	bytes    atomic.Int64
	stop     context.CancelFunc
}

func (p *process) close() {
	p.stop()
	p.listener.Close()
	p.Close()
}

// countingConn counts the bytes of all connections in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, l.bytes}, err
}

// launch starts replica id of the group at the given addresses.
func launch(b testing.TB, id uint64, peers map[uint64]string, dir string) *process {
	p := &process{}
	listener, err := net.Listen("tcp", peers[id])
	assert.NilError(b, err)
	p.listener = &countingListener{listener, &p.bytes}
	r, err := replica.New(replica.Options{
		ID: id, Peers: peers, Dir: dir, SnapshotEvery: 1 << 40,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return &countingConn{conn, &p.bytes}, err
		},
		Apply:              func(uint64, []byte) any { return p.applied.Add(1) },
		Snapshot:           func() []byte { return nil },
		Restore:            func([]byte) error { return nil },
		OnLeadershipChange: func(bool, uint64) {},
	})
	assert.NilError(b, err)
	mux := drpcmux.New()
	assert.NilError(b, r.Register(mux))
	ctx, stop := context.WithCancel(context.Background())
	p.Replica, p.stop = r, stop
	go drpcserver.New(mux).Serve(ctx, p.listener)
	return p
}

// loopback returns free addresses for three replicas.
func loopback(b *testing.B) map[uint64]string {
	peers := map[uint64]string{}
	for id := uint64(1); id <= 3; id++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		defer listener.Close()
		peers[id] = listener.Addr().String()
	}
	return peers
}

// processes returns three replicas on loopback, their leader first, and their folders and addresses.
func processes(b *testing.B) (group []*process, dirs map[uint64]string, peers map[uint64]string) {
	peers, dirs = loopback(b), map[uint64]string{}
	for id := range peers {
		dirs[id] = b.TempDir()
		group = append(group, launch(b, id, peers, dirs[id]))
	}
	for {
		for i, p := range group {
			if p.Confirm(context.Background()) == nil {
				group[0], group[i] = group[i], group[0]
				return group, dirs, peers
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func closeAll(group []*process) {
	for _, p := range group {
		p.close()
	}
}

// BenchmarkPropose compares records proposed one after another, one sync each, with 256 proposers whose records share syncs.
func BenchmarkPropose(b *testing.B) {
	group, _, _ := processes(b)
	defer func() { closeAll(group) }()
	propose := func(proposers, each int) float64 {
		start := time.Now()
		var wait sync.WaitGroup
		for range proposers {
			wait.Go(func() {
				for range each {
					_, err := group[0].Propose(context.Background(), make([]byte, recordBytes))
					assert.Check(b, err)
				}
			})
		}
		wait.Wait()
		return float64(proposers*each) / time.Since(start).Seconds()
	}
	for b.Loop() {
		single := propose(1, 500)
		grouped := propose(256, 100)
		b.ReportMetric(single, "single/s")
		b.ReportMetric(grouped, "grouped/s")
		b.ReportMetric(grouped/single, "ratio")
	}
}

// BenchmarkCatchUp times a follower that missed 10,000 records, from its start to its having applied them.
func BenchmarkCatchUp(b *testing.B) {
	const missed = 10_000
	group, dirs, peers := processes(b)
	defer func() { closeAll(group) }()
	for b.Loop() {
		b.StopTimer()
		behind := group[2]
		id := behind.Info().ID
		had := behind.applied.Load()
		behind.close()
		var wait sync.WaitGroup
		for range 100 {
			wait.Go(func() {
				for range missed / 100 {
					_, err := group[0].Propose(context.Background(), make([]byte, recordBytes))
					assert.Check(b, err)
				}
			})
		}
		wait.Wait()
		b.StartTimer()
		group[2] = launch(b, id, peers, dirs[id])
		for group[2].applied.Load() < had+missed {
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkElection times from the death of a leader to a new one that serves.
func BenchmarkElection(b *testing.B) {
	var total time.Duration
	rounds := 0
	for b.Loop() {
		group, _, _ := processes(b)
		start := time.Now()
		group[0].close()
		for group[1].Confirm(context.Background()) != nil && group[2].Confirm(context.Background()) != nil {
			time.Sleep(time.Millisecond)
		}
		total += time.Since(start)
		rounds++
		closeAll(group[1:])
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(rounds), "ms/new-leader")
}

// What BenchmarkCost measures over, and its load: task starts a second at today's sizes.
const (
	costSettle   = 2 * time.Second
	costWindow   = 5 * time.Second
	costInterval = 20 * time.Millisecond
	costStarts   = 1100
	startBytes   = 60
	costLine     = "cost: leader=%t idle=%d rss=%d cpu=%d applied=%d"
)

// BenchmarkCost runs three processes: idle, then with 1,100 task starts a second, in records of one or of 22 starts as a scheduling loop commits them.
func BenchmarkCost(b *testing.B) {
	for _, starts := range []int{1, 22} {
		b.Run(fmt.Sprintf("starts=%d", starts), func(b *testing.B) { benchmarkCost(b, starts) })
	}
}

func benchmarkCost(b *testing.B, starts int) {
	for b.Loop() {
		peers := loopback(b)
		outputs := make([][]byte, len(peers))
		var wait sync.WaitGroup
		for id := range peers {
			command := exec.Command(os.Args[0], "-test.run=^TestCostProcess$", "-test.v")
			command.Env = append(os.Environ(), fmt.Sprintf("REPLICA_COST=%d %d %s %s %s", starts, id, peers[1], peers[2], peers[3]))
			wait.Go(func() { outputs[id-1], _ = command.Output() })
		}
		wait.Wait()
		for _, output := range outputs {
			reportCost(b, output)
		}
	}
}

func reportCost(b *testing.B, output []byte) {
	var leader bool
	var idle, rss, cpu, applied int64
	_, err := fmt.Sscanf(string(output[bytes.Index(output, []byte("cost:")):]), costLine, &leader, &idle, &rss, &cpu, &applied)
	assert.NilError(b, err)
	b.Logf("applied %d", applied)
	role := "follower"
	if leader {
		role = "leader"
	}
	b.ReportMetric(float64(idle)/costWindow.Seconds(), role+"-idle-B/s")
	b.ReportMetric(float64(rss)/(1<<20), role+"-MiB")
	b.ReportMetric(float64(cpu)/float64(costWindow)*100, role+"-cpu-%")
}

// TestCostProcess is one of the processes of BenchmarkCost.
func TestCostProcess(t *testing.T) {
	var id uint64
	var starts int
	var one, two, three string
	if n, _ := fmt.Sscan(os.Getenv("REPLICA_COST"), &starts, &id, &one, &two, &three); n != 5 {
		t.Skip("runs only as a process of BenchmarkCost")
	}
	peers := map[uint64]string{}
	peers[1], peers[2], peers[3] = one, two, three
	p := launch(t, id, peers, t.TempDir())
	defer p.close()
	time.Sleep(costSettle)
	idle := -p.bytes.Load()
	time.Sleep(costWindow)
	idle += p.bytes.Load()
	rss := residentBytes(t)
	cpu := -cpuNanos(t)
	leader := p.IsLeader()
	for end := time.Now().Add(costWindow); time.Now().Before(end); time.Sleep(costInterval) {
		for range costStarts * int(costInterval/time.Millisecond) / 1000 / starts {
			if leader {
				go p.Propose(context.Background(), make([]byte, starts*startBytes))
			}
		}
	}
	cpu += cpuNanos(t)
	fmt.Printf(costLine+"\n", leader, idle, rss, cpu, p.applied.Load())
	time.Sleep(time.Second)
}

func residentBytes(t *testing.T) int64 {
	b, err := os.ReadFile("/proc/self/statm")
	assert.NilError(t, err)
	var size, pages int64
	_, err = fmt.Sscan(string(b), &size, &pages)
	assert.NilError(t, err)
	return pages * int64(os.Getpagesize())
}

func cpuNanos(t *testing.T) int64 {
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return usage.Utime.Nano() + usage.Stime.Nano()
}
