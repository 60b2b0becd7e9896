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

// process is a replica that serves on a loopback address and counts its traffic.
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

// startProcess starts the replica with the given id of the group at the given addresses.
func startProcess(b testing.TB, id uint64, peers map[uint64]string, dir string) *process {
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

// freeAddresses returns unused loopback addresses for three replicas.
func freeAddresses(b *testing.B) map[uint64]string {
	peers := map[uint64]string{}
	for id := uint64(1); id <= 3; id++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		defer listener.Close()
		peers[id] = listener.Addr().String()
	}
	return peers
}

// startGroup starts three replicas on loopback and returns them, leader first, with their folders and addresses.
func startGroup(b *testing.B) (group []*process, dirs map[uint64]string, peers map[uint64]string) {
	peers, dirs = freeAddresses(b), map[uint64]string{}
	for id := range peers {
		dirs[id] = b.TempDir()
		group = append(group, startProcess(b, id, peers, dirs[id]))
	}
	for {
		for i, p := range group {
			if p.ReadBarrier(context.Background()) == nil {
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

// BenchmarkPropose compares one proposer, whose records need one sync each, with 256 concurrent proposers, whose records share syncs.
func BenchmarkPropose(b *testing.B) {
	group, _, _ := startGroup(b)
	defer func() { closeAll(group) }()
	propose := func(proposers, recordsPerProposer int) float64 {
		start := time.Now()
		var wait sync.WaitGroup
		for range proposers {
			wait.Go(func() {
				for range recordsPerProposer {
					_, err := group[0].Propose(context.Background(), make([]byte, recordBytes))
					assert.Check(b, err)
				}
			})
		}
		wait.Wait()
		return float64(proposers*recordsPerProposer) / time.Since(start).Seconds()
	}
	for b.Loop() {
		single := propose(1, 500)
		grouped := propose(256, 100)
		b.ReportMetric(single, "single/s")
		b.ReportMetric(grouped, "grouped/s")
		b.ReportMetric(grouped/single, "ratio")
	}
}

// BenchmarkCatchUp measures how long a follower that missed 10,000 records takes from its start until it has applied them.
func BenchmarkCatchUp(b *testing.B) {
	const missed = 10_000
	group, dirs, peers := startGroup(b)
	defer func() { closeAll(group) }()
	for b.Loop() {
		b.StopTimer()
		lagging := group[2]
		id := lagging.Info().ID
		appliedBefore := lagging.applied.Load()
		lagging.close()
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
		group[2] = startProcess(b, id, peers, dirs[id])
		for group[2].applied.Load() < appliedBefore+missed {
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkElection measures the time from the crash of a leader until a new leader confirms a read.
func BenchmarkElection(b *testing.B) {
	var total time.Duration
	rounds := 0
	for b.Loop() {
		group, _, _ := startGroup(b)
		start := time.Now()
		group[0].close()
		for group[1].ReadBarrier(context.Background()) != nil && group[2].ReadBarrier(context.Background()) != nil {
			time.Sleep(time.Millisecond)
		}
		total += time.Since(start)
		rounds++
		closeAll(group[1:])
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(rounds), "ms/new-leader")
}

// Measuring windows of BenchmarkCost and its load, in task starts per second and bytes per start.
const (
	costWarmUp          = 2 * time.Second
	costWindow          = 5 * time.Second
	costInterval        = 20 * time.Millisecond
	costStartsPerSecond = 1100
	startBytes          = 60
	costFormat          = "cost: leader=%t idle=%d rss=%d cpu=%d applied=%d"
)

// BenchmarkCost measures three processes, first idle and then at 1,100 task starts per second. A record holds 1 or 22 starts, as the scheduling loop commits them.
func BenchmarkCost(b *testing.B) {
	for _, starts := range []int{1, 22} {
		b.Run(fmt.Sprintf("starts=%d", starts), func(b *testing.B) { benchmarkCost(b, starts) })
	}
}

func benchmarkCost(b *testing.B, starts int) {
	for b.Loop() {
		peers := freeAddresses(b)
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
	_, err := fmt.Sscanf(string(output[bytes.Index(output, []byte("cost:")):]), costFormat, &leader, &idle, &rss, &cpu, &applied)
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

// TestCostProcess runs one of the processes of BenchmarkCost and is skipped otherwise.
func TestCostProcess(t *testing.T) {
	var id uint64
	var starts int
	var address1, address2, address3 string
	if n, _ := fmt.Sscan(os.Getenv("REPLICA_COST"), &starts, &id, &address1, &address2, &address3); n != 5 {
		t.Skip("runs only as a process of BenchmarkCost")
	}
	peers := map[uint64]string{}
	peers[1], peers[2], peers[3] = address1, address2, address3
	p := startProcess(t, id, peers, t.TempDir())
	defer p.close()
	time.Sleep(costWarmUp)
	idle := -p.bytes.Load()
	time.Sleep(costWindow)
	idle += p.bytes.Load()
	rss := residentBytes(t)
	cpu := -cpuNanos(t)
	leader := p.IsLeader()
	for end := time.Now().Add(costWindow); time.Now().Before(end); time.Sleep(costInterval) {
		for range costStartsPerSecond * int(costInterval/time.Millisecond) / 1000 / starts {
			if leader {
				go p.Propose(context.Background(), make([]byte, starts*startBytes))
			}
		}
	}
	cpu += cpuNanos(t)
	fmt.Printf(costFormat+"\n", leader, idle, rss, cpu, p.applied.Load())
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
