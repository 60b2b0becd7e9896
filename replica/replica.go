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

// Defaults of Options.
const (
	DefaultTick          = 50 * time.Millisecond
	DefaultElectionTicks = 10
	DefaultSnapshotEvery = 10_000
	DefaultSnapshotBytes = 16 << 20
)

// redialTicks is how many ticks pass between attempts to connect to a peer.
const redialTicks = 2

// maxQueuedRequests is the capacity of the proposal queue and of the read queue.
const maxQueuedRequests = 1024

// Options configures a replica: its group, its data folder and the state machine that the log drives. While the replica runs, Snapshot, Restore and Apply are called from one goroutine.
type Options struct {
	ID                 uint64
	Peers              map[uint64]string // drpc addresses of the replicas named in the settings, its own included if it is one of them
	Address            string            // its own, as others reach it; needed only with dynamic membership
	Domain             string            // its own failure domain
	DynamicMembers     bool              // dynamic membership: Peers are only initial contacts, and the group adds, removes and replaces its members by itself
	Bootstrap          bool              // with dynamic membership: no group exists yet, so this replica may form one
	ToleratedLosses    int               // with dynamic membership: number of voters whose simultaneous loss the group must survive
	Dir                string
	Dial               func(ctx context.Context, address string) (net.Conn, error)
	Tick               time.Duration
	ElectionTicks      int
	SnapshotEvery      uint64                              // records between snapshots
	SnapshotBytes      uint64                              // bytes of records between snapshots, whichever comes first
	Seed               uint64                              // of the election timeouts, 0 for a random one
	SinceBoot          func() time.Duration                // clock of the leader's lease that includes suspended time; the monotonic clock if nil
	Disk               disk.Options                        // its Dir is replaced by the Dir above
	Apply              func(index uint64, data []byte) any // called in log order; data is never empty
	Snapshot           func() []byte                       // called between two calls of Apply
	Restore            func([]byte) error
	OnLeadershipChange func(leading bool, term uint64) // called when this replica gains or loses leadership; a new leader is told after it has applied the first entry of its term
	OnFailure          func(error)                     // called when the replica stops because of a disk or restore failure or a violated invariant of the log; may be nil
}

// Replica is one member of the group.
type Replica struct {
	options     Options
	disk        *disk.Disk
	node        *raft.Node // used only by the loop
	started     time.Time
	startedBoot time.Duration
	ctx         context.Context
	stop        context.CancelFunc
	tasks       group.Group
	ended       chan struct{} // closed when the loop has ended

	proposals      chan *proposal.Proposal
	reads          chan *pendingRead
	savedSnapshots chan uint64 // indexes of snapshots written to disk
	seeds          chan map[uint64]string
	transfers      chan struct{}
	peers          *peer.Connections
	applier        applier

	loopState
	info       atomic.Pointer[Info]
	applied    atomic.Uint64
	leaseUntil atomic.Int64  // nanoseconds on the clock of elapsed; 0 without a lease
	leaseTerm  atomic.Uint64 // term of the lease; stored before leaseUntil
	servedTerm atomic.Uint64 // term of the leadership of which the last callback told, 0 if it told that there is none
}

// New opens the data folder, restores the state machine and starts the replica. Its error wraps disk.ErrFull if the folder can be opened once the disk has room.
func New(o Options) (*Replica, error) {
	o = withDefaults(o)
	d, loaded, err := disk.Open(o.Disk)
	if err != nil {
		return nil, fmt.Errorf("replica %d: %w", o.ID, err)
	}
	if loaded.TornWrite != nil {
		event.ReplicaTailCut.Info("file", loaded.TornWrite.File, "offset", loaded.TornWrite.Offset, "bytes", loaded.TornWrite.Bytes)
	}
	if loaded.Snapshot != nil {
		if err := o.Restore(loaded.Snapshot.GetData()); err != nil {
			err = fmt.Errorf("replica %d: restore snapshot %d: %w", o.ID, loaded.Snapshot.GetIndex(), err)
			return nil, errors.Join(err, d.Close())
		}
	}
	r := newReplica(o, d, loaded)
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
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
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

func newReplica(options Options, d *disk.Disk, loaded *disk.Loaded) *Replica {
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
		Peers:         peerIDs(options.Peers),
		Joins:         options.DynamicMembers && !options.Bootstrap,
		ElectionTicks: options.ElectionTicks,
		Rand:          rand.New(rand.NewPCG(options.Seed, options.ID)),
		State:         loaded.State,
		Snapshot:      loaded.Snapshot,
		Entries:       loaded.Entries,
	})
	r.peers = peer.New(peer.Options{
		ID:             options.ID,
		Peers:          options.Peers,
		Address:        options.Address,
		Domain:         options.Domain,
		Dial:           options.Dial,
		RedialInterval: redialTicks * options.Tick,
		AnswerTimeout:  time.Duration(options.ElectionTicks) * options.Tick,
		Ended:          r.ended,
	})
	r.applier.members = loaded.Snapshot.GetMembers()
	r.node.SetContacts(peerIDs(options.Peers))
	r.connectMembers(r.node.Members())
	r.pending = map[uint64]*proposal.Proposal{}
	r.failures = make(chan error)
	r.delivered = loaded.Snapshot.GetIndex()
	r.recovering = r.node.Recovering()
	r.publishInfo()
	return r
}

func peerIDs(peers map[uint64]string) []uint64 {
	var ids []uint64
	for id := range peers {
		ids = append(ids, id)
	}
	return ids
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

// Register registers the drpc service wire.Peer, through which other replicas send messages.
func (r *Replica) Register(mux drpc.Mux) error {
	return r.peers.Register(mux)
}

// IsLeader reports whether this replica leads, has applied its predecessors' records and holds the leader's lease: a quorum has answered recently enough that no other replica can have been elected.
// The lease alone does not suffice: a replica that loses its leadership and regains it while records wait to be applied holds a lease, and has not been told of either change.
func (r *Replica) IsLeader() bool {
	return r.elapsed() < time.Duration(r.leaseUntil.Load()) && r.servedTerm.Load() == r.leaseTerm.Load()
}

// elapsed returns the time since the replica was created, by the lease clock.
func (r *Replica) elapsed() time.Duration {
	if r.options.SinceBoot != nil {
		return r.options.SinceBoot() - r.startedBoot
	}
	return time.Since(r.started)
}

// Close stops the replica, waits for its goroutines and closes its disk.
func (r *Replica) Close() error {
	r.stop()
	r.tasks.Wait()
	return r.disk.Close()
}
