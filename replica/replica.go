package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"daisyswitch/disk"
	"daisyswitch/event"
	"daisyswitch/group"
	"daisyswitch/peer"
	"daisyswitch/proposal"
	"daisyswitch/raft"
	"daisyswitch/serial"

	"storj.io/drpc"
)

// The defaults of Options.
const (
	DefaultTick          = 50 * time.Millisecond
	DefaultElectionTicks = 10
	DefaultSnapshotEvery = 10_000
)

// redialTicks is how many ticks pass between attempts to connect to a peer.
const redialTicks = 2

// waitingProposals bounds the proposals, and the reads, that wait in memory.
const waitingProposals = 1024

// Options says who the group is, where its data lies and what the log drives; Snapshot, Restore and Apply are called from one goroutine.
type Options struct {
	ID            uint64
	Peers         map[uint64]string // drpc addresses of the replicas that the settings name, its own included if it is one of them
	Address       string            // its own, as others reach it; needed only where Found is set
	Domain        string            // its own failure domain
	Found         bool              // Peers are only where some replicas may be found: the group grows and changes by itself
	First         bool              // with Found: no group has been formed yet
	Losses        int               // with Found: voters that may be lost at once
	Dir           string
	Dial          func(ctx context.Context, address string) (net.Conn, error)
	Tick          time.Duration
	ElectionTicks int
	SnapshotEvery uint64                              // records
	Seed          uint64                              // of the election timeouts, 0 for a random one
	Boot          func() time.Duration                // clock of the leader's lease, which counts suspended time; the monotonic one when nil
	Disk          disk.Options                        // its folder is Dir
	Apply         func(index uint64, data []byte) any // in order, from one goroutine; nil data never reaches it
	Snapshot      func() []byte                       // called between two Applies
	Restore       func([]byte) error
	Leading       func(leading bool, term uint64) // after a change of leadership, once the new leader has applied its own first record
	Failed        func(error)                     // the disk failed or the log's rules were broken, which ends this replica's part in the group; may be nil
}

// Replica is one member of the group.
type Replica struct {
	o           Options
	disk        *disk.Disk
	node        *raft.Node // used by the loop only
	started     time.Time
	startedBoot time.Duration
	ctx         context.Context
	stop        context.CancelFunc
	tasks       group.Group
	ended       chan struct{} // closed when the loop has ended

	proposals chan *proposal.Proposal
	reads     chan *read
	saved     chan uint64 // indexes of snapshots on disk
	seeds     chan map[uint64]string
	yields    chan struct{}
	peers     *peer.Connections
	applier   applier

	loopState
	info       atomic.Pointer[Info]
	applied    atomic.Uint64
	leaseUntil atomic.Int64 // since started, nanoseconds
}

// New opens the data folder, restores the state machine and starts taking part.
func New(o Options) (*Replica, error) {
	o = withDefaults(o)
	d, loaded, err := disk.Open(o.Disk)
	if err != nil {
		return nil, fmt.Errorf("replica %d: %w", o.ID, err)
	}
	if loaded.Torn != nil {
		event.ReplicaTailCut.Info("file", loaded.Torn.File, "offset", loaded.Torn.Offset, "bytes", loaded.Torn.Bytes)
	}
	if loaded.Snapshot != nil {
		if err := o.Restore(loaded.Snapshot.GetData()); err != nil {
			err = fmt.Errorf("replica %d: restore snapshot %d: %w", o.ID, loaded.Snapshot.GetIndex(), err)
			return nil, errors.Join(err, d.Close())
		}
	}
	r := build(o, d, loaded)
	r.start()
	return r, nil
}

func withDefaults(o Options) Options {
	if o.Tick == 0 {
		o.Tick = DefaultTick
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = DefaultElectionTicks
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Failed == nil {
		o.Failed = func(error) {}
	}
	o.Disk.Dir = o.Dir
	return o
}

func build(o Options, d *disk.Disk, loaded *disk.Loaded) *Replica {
	r := &Replica{
		o:         o,
		disk:      d,
		started:   time.Now(),
		ended:     make(chan struct{}),
		proposals: make(chan *proposal.Proposal, waitingProposals),
		reads:     make(chan *read, waitingProposals),
		saved:     make(chan uint64),
		seeds:     make(chan map[uint64]string),
		yields:    make(chan struct{}),
	}
	if o.Boot != nil {
		r.startedBoot = o.Boot()
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.applier.Queue, r.applier.snapshot = serial.New(), loaded.Snapshot.GetIndex()
	r.applied.Store(loaded.Snapshot.GetIndex())
	r.node = raft.New(raft.Options{
		ID:            o.ID,
		Peers:         ids(o.Peers),
		Joins:         o.Found && !o.First,
		ElectionTicks: o.ElectionTicks,
		Rand:          rand.New(rand.NewPCG(o.Seed, o.ID)),
		State:         loaded.State,
		Snapshot:      loaded.Snapshot,
		Entries:       loaded.Entries,
	})
	r.peers = peer.New(peer.Options{
		ID:      o.ID,
		Peers:   o.Peers,
		Address: o.Address,
		Domain:  o.Domain,
		Dial:    o.Dial,
		Redial:  redialTicks * o.Tick,
		Silence: time.Duration(o.ElectionTicks) * o.Tick,
		Ended:   r.ended,
	})
	r.applier.members = loaded.Snapshot.GetMembers()
	r.node.SetContacts(ids(o.Peers))
	r.meet(r.node.Members())
	r.pending = map[uint64]*proposal.Proposal{}
	r.broken = make(chan error)
	r.delivered = loaded.Snapshot.GetIndex()
	r.recovering = r.node.Recovering()
	r.publish()
	return r
}

func ids(peers map[uint64]string) []uint64 {
	var all []uint64
	for id := range peers {
		all = append(all, id)
	}
	return all
}

func (r *Replica) start() {
	event.ReplicaStarted.Info("replica", r.o.ID, "term", r.node.Term(), "last", r.node.Last())
	if r.recovering {
		event.ReplicaRecovering.Info("replica", r.o.ID)
	}
	r.tasks.Go(r.loop)
	r.tasks.Go(func() { r.applier.Run(r.ctx) })
	r.peers.Start(r.ctx, &r.tasks)
}

// Register serves wire.Peer, over which the other replicas send.
func (r *Replica) Register(mux drpc.Mux) error {
	return r.peers.Register(mux)
}

// IsLeader says whether this replica leads and a quorum has answered within the election timeout, by the monotonic clock.
func (r *Replica) IsLeader() bool {
	return r.since() < time.Duration(r.leaseUntil.Load())
}

// since returns the time since the replica was started.
func (r *Replica) since() time.Duration {
	if r.o.Boot != nil {
		return r.o.Boot() - r.startedBoot
	}
	return time.Since(r.started)
}

// Close ends the replica's part in the group and waits for its goroutines.
func (r *Replica) Close() error {
	r.stop()
	r.tasks.Wait()
	return r.disk.Close()
}
