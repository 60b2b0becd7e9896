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

// maxQueuedRequests bounds the proposals, and the reads, that wait in memory.
const maxQueuedRequests = 1024

// Options says who the group is, where its data lies and what the log drives; Snapshot, Restore and Apply are called from one goroutine.
type Options struct {
	ID                 uint64
	Peers              map[uint64]string // drpc addresses of the replicas that the settings name, its own included if it is one of them
	Address            string            // its own, as others reach it; needed only where DynamicMembers is set
	Domain             string            // its own failure domain
	DynamicMembers     bool              // Peers are only where some replicas may be found: the group grows and changes by itself
	Bootstrap          bool              // with DynamicMembers: no group has been formed yet
	Losses             int               // with DynamicMembers: voters that may be lost at once
	Dir                string
	Dial               func(ctx context.Context, address string) (net.Conn, error)
	Tick               time.Duration
	ElectionTicks      int
	SnapshotEvery      uint64                              // records
	Seed               uint64                              // of the election timeouts, 0 for a random one
	SinceBoot          func() time.Duration                // clock of the leader's lease, which counts suspended time; the monotonic one when nil
	Disk               disk.Options                        // its folder is Dir
	Apply              func(index uint64, data []byte) any // in order, from one goroutine; nil data never reaches it
	Snapshot           func() []byte                       // called between two Applies
	Restore            func([]byte) error
	OnLeadershipChange func(leading bool, term uint64) // after a change of leadership, once the new leader has applied its own first record
	OnFailure          func(error)                     // the disk failed or the log's rules were broken, which ends this replica's part in the group; may be nil
}

// Replica is one member of the group.
type Replica struct {
	options     Options
	disk        *disk.Disk
	node        *raft.Node // used by the loop only
	started     time.Time
	startedBoot time.Duration
	ctx         context.Context
	stop        context.CancelFunc
	tasks       group.Group
	ended       chan struct{} // closed when the loop has ended

	proposals      chan *proposal.Proposal
	reads          chan *pendingRead
	savedSnapshots chan uint64 // indexes of snapshots on disk
	seeds          chan map[uint64]string
	transfers      chan struct{}
	peers          *peer.Connections
	applier        applier

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
	if o.OnFailure == nil {
		o.OnFailure = func(error) {}
	}
	o.Disk.Dir = o.Dir
	return o
}

func build(options Options, d *disk.Disk, loaded *disk.Loaded) *Replica {
	r := &Replica{
		options:        options,
		disk:           d,
		started:        time.Now(),
		ended:          make(chan struct{}),
		proposals:      make(chan *proposal.Proposal, maxQueuedRequests),
		reads:          make(chan *pendingRead, maxQueuedRequests),
		savedSnapshots: make(chan uint64),
		seeds:          make(chan map[uint64]string),
		transfers:      make(chan struct{}),
	}
	if options.SinceBoot != nil {
		r.startedBoot = options.SinceBoot()
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.applier.Queue, r.applier.snapshotIndex = serial.New(), loaded.Snapshot.GetIndex()
	r.applied.Store(loaded.Snapshot.GetIndex())
	r.node = raft.New(raft.Options{
		ID:            options.ID,
		Peers:         ids(options.Peers),
		Joins:         options.DynamicMembers && !options.Bootstrap,
		ElectionTicks: options.ElectionTicks,
		Rand:          rand.New(rand.NewPCG(options.Seed, options.ID)),
		State:         loaded.State,
		Snapshot:      loaded.Snapshot,
		Entries:       loaded.Entries,
	})
	r.peers = peer.New(peer.Options{
		ID:      options.ID,
		Peers:   options.Peers,
		Address: options.Address,
		Domain:  options.Domain,
		Dial:    options.Dial,
		Redial:  redialTicks * options.Tick,
		Silence: time.Duration(options.ElectionTicks) * options.Tick,
		Ended:   r.ended,
	})
	r.applier.members = loaded.Snapshot.GetMembers()
	r.node.SetContacts(ids(options.Peers))
	r.connectMembers(r.node.Members())
	r.pending = map[uint64]*proposal.Proposal{}
	r.failures = make(chan error)
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
	event.ReplicaStarted.Info("replica", r.options.ID, "term", r.node.Term(), "last", r.node.Last())
	if r.recovering {
		event.ReplicaRecovering.Info("replica", r.options.ID)
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
	return r.elapsed() < time.Duration(r.leaseUntil.Load())
}

// elapsed returns the time elapsed the replica was started.
func (r *Replica) elapsed() time.Duration {
	if r.options.SinceBoot != nil {
		return r.options.SinceBoot() - r.startedBoot
	}
	return time.Since(r.started)
}

// Close ends the replica's part in the group and waits for its goroutines.
func (r *Replica) Close() error {
	r.stop()
	r.tasks.Wait()
	return r.disk.Close()
}
