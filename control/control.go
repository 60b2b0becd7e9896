package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"time"

	"daisyswitch/call"
	"daisyswitch/clock"
	"daisyswitch/descriptor"
	"daisyswitch/disk"
	"daisyswitch/dispatch"
	"daisyswitch/event"
	"daisyswitch/group"
	"daisyswitch/inner"
	"daisyswitch/lease"
	"daisyswitch/measure"
	"daisyswitch/relay"
	"daisyswitch/replica"
	"daisyswitch/schedule"
	"daisyswitch/settings"
	"daisyswitch/state"
	"daisyswitch/verdict"
	"daisyswitch/wire"
	"daisyswitch/workflow"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
)

// MaxCommandBytes is the size up to which a command can be committed.
const MaxCommandBytes = replica.MaxRecordBytes - 1024

const commitTimeout = 2 * time.Second // longest wait for a quorum to commit a command

// Options configures a Control.
type Options struct {
	Settings       *settings.Control
	Dial           func(ctx context.Context, address string) (net.Conn, error) // connects to other replicas; TCP when nil
	Listen         func(address string) (net.Listener, error)                  // TCP when nil
	SinceBoot      func() time.Duration                                        // clock that leases are measured with; the monotonic clock when nil
	Called         *Called                                                     // how this process calls workers; nil if all of them poll
	DynamicMembers *DynamicMembers                                             // set if the replicas in the settings are only seed addresses
	MaxHeld        int64                                                       // bytes that all accepted workflows may take, 0 for no limit
}

// DynamicMembers describes how a group of replicas forms and changes when the settings don't list all of its members.
type DynamicMembers struct {
	Bootstrap       bool // no group has been formed yet
	ToleratedLosses int  // replicas that may be lost at the same time
}

func (f *DynamicMembers) losses() int {
	if f == nil {
		return 0
	}
	return f.ToleratedLosses
}

// Called configures the calls to workers and the length of their leases.
type Called struct {
	Calls        call.Functions
	Lease        time.Duration     // granted to workers
	LongestLease time.Duration     // the longest lease that any leader may have granted
	Shares       descriptor.Shares // of connections; zero if they are not limited
	Lookahead    bool              // whether capacity is kept for large tasks that found none
}

func (f *Called) shares() descriptor.Shares {
	if f == nil {
		return descriptor.Shares{}
	}
	return f.Shares
}

// Control is one control process.
// Locks are acquired in the order mu, leases, state machine, workflows, and then at most one of measures, watchers, announcements, admissions, memory and the locks of the loops.
type Control struct {
	settings      *settings.Control
	replica       *replica.Replica
	machine       *state.Machine
	leases        *lease.Table
	measures      *measure.Table
	watchers      *watchers
	schedule      *schedule.Loop
	workflows     *workflow.Table
	dispatch      *dispatch.Loop // nil if all workers poll
	announcements announcements
	admissions    admissions
	memory        memory
	announcers    announcers
	maxAnnouncers int           // workers that may announce themselves to this replica
	forwarding    chan struct{} // holds one element for each announcement that is being forwarded
	relays        *relay.Client // the leader's calls to workers
	relayed       *relay.Server // calls of another leader
	counters      *counters
	server        *inner.Server
	pool          *inner.Pool // to other replicas, for forwarded orders
	sinceBoot     func() time.Duration
	pauses        *clock.PauseDetector
	goroutines    group.Group

	mu          sync.Mutex // guards the fields below
	cancelLoops context.CancelFunc
	loopsEnded  <-chan struct{} // closed when the loops of the latest leadership have ended
}

// New starts the replica on its data directory and listens for the other processes.
func New(o Options) (*Control, error) {
	s := o.Settings
	if o.Dial == nil {
		o.Dial = inner.DialTCP
	}
	if o.Listen == nil {
		o.Listen = inner.ListenTCP
	}
	c := &Control{
		settings: s,
		leases:   lease.New(lease.Options{Length: time.Duration(s.LeaseMS) * time.Millisecond, DriftPPM: s.DriftPPM}),
		measures: measure.New(),
		watchers: newWatchers(),
		pool:     inner.New(inner.Options{Dial: o.Dial, ConnectTimeout: forwardDialTimeout}),

		forwarding: make(chan struct{}, maxForwarding),
	}
	c.sinceBoot = o.SinceBoot
	if c.sinceBoot == nil {
		started := time.Now()
		c.sinceBoot = func() time.Duration { return time.Since(started) }
	}
	c.machine = state.New(state.Options{
		AuditKeep:            int(s.AuditKeep),
		AnswersKeep:          int(s.AnswersKeep),
		TaskChanged:          func(j *wire.Job, t *wire.Task) { c.schedule.TaskChanged(j, t) },
		WorkerChanged:        func(w *wire.WorkerRecord) { c.schedule.WorkerChanged(w) },
		ConfigurationChanged: c.configurationChanged,
	})
	c.memory.limit = o.MaxHeld
	c.counters = c.newCounters()
	c.schedule = schedule.New(schedule.Options{
		Machine: c.machine,
		Leases:  c.leases,
		Commit:  c.commit,
		Decided: c.counters.decide.UpdateDuration,
		Applied: c.counters.countApplied,
	})
	c.newRelays(o)
	c.newWorkflows(o)
	c.pauses = clock.NewPauseDetector(c.sinceBoot, recentPause)
	if err := c.open(o); err != nil {
		c.pauses.Close()
		return nil, err
	}
	return c, nil
}

func (c *Control) open(o Options) error {
	addresses := map[uint64]string{}
	for _, r := range c.settings.Control {
		addresses[r.ID] = r.Inner
	}
	r, err := replica.New(replica.Options{
		ID:                 c.settings.ID,
		Peers:              addresses,
		Address:            c.settings.Inner,
		Domain:             c.settings.Domain,
		DynamicMembers:     o.DynamicMembers != nil,
		Bootstrap:          o.DynamicMembers != nil && o.DynamicMembers.Bootstrap,
		ToleratedLosses:    o.DynamicMembers.losses(),
		Dir:                filepath.Clean(c.settings.Data),
		Dial:               o.Dial,
		Tick:               time.Duration(c.settings.TickMS) * time.Millisecond,
		ElectionTicks:      int(c.settings.ElectionTicks),
		SnapshotEvery:      c.settings.SnapshotEvery,
		SinceBoot:          o.SinceBoot,
		Apply:              c.apply,
		Snapshot:           c.snapshot,
		Restore:            c.restore,
		OnLeadershipChange: c.leading,
	})
	if err != nil {
		return fmt.Errorf("open replica: %w", err)
	}
	c.replica = r
	mux := drpcmux.New()
	if err := r.Register(mux); err != nil {
		return fmt.Errorf("register replica: %w", err)
	}
	if err := wire.DRPCRegisterControl(mux, c); err != nil {
		return fmt.Errorf("register control: %w", err)
	}
	c.server, err = inner.Listen(o.Listen, c.settings.InnerAddress(), mux)
	if err != nil {
		return errors.Join(err, r.Close())
	}
	return nil
}

func (c *Control) configurationChanged(configuration *wire.Configuration) {
	c.watchers.publish()
	c.schedule.ConfigurationChanged(configuration)
}

// apply applies one committed record. A record that cannot be decoded was not written by this software.
func (c *Control) apply(index uint64, data []byte) any {
	var command wire.Command
	if err := proto.Unmarshal(data, &command); err != nil {
		return fmt.Errorf("decode record at index %d: %w", index, err)
	}
	if command.GetWorkflow() != nil {
		return c.workflows.Apply(command.GetTimeMs(), command.GetWorkflow())
	}
	return c.machine.Apply(index, &command)
}

func (c *Control) snapshot() []byte {
	s := c.machine.Snapshot()
	s.Workflows = c.workflows.Snapshot()
	data, err := proto.Marshal(s)
	if err != nil {
		return nil
	}
	return data
}

func (c *Control) restore(data []byte) error {
	var s wire.State
	if err := proto.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if err := c.machine.Restore(&s); err != nil {
		return err
	}
	return c.workflows.Restore(s.GetWorkflows())
}

// leading starts the loops when this replica becomes the leader and cancels them when it no longer is.
func (c *Control) leading(leading bool, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelLoops != nil {
		c.cancelLoops()
		c.cancelLoops = nil
	}
	if !leading {
		event.LeadershipLost.Info("term", term)
		return
	}
	event.LeadershipGained.Info("term", term, "replica", c.settings.ID)
	c.leases.StartTerm(time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	c.cancelLoops = cancel
	c.announcements.clear()
	c.admissions.clear()
	c.runLoops(ctx, c.loopsEnded, term)
}

// runLoops starts the loops after those of the previous leadership have ended, since both use the same tables.
func (c *Control) runLoops(ctx context.Context, previous <-chan struct{}, term uint64) {
	ended := make(chan struct{})
	c.loopsEnded = ended
	c.goroutines.Go(func() {
		defer close(ended)
		if previous != nil {
			<-previous
		}
		var loops group.Group
		loops.Go(func() { c.schedule.Run(ctx) })
		if c.dispatch != nil {
			loops.Go(func() { c.dispatch.Run(ctx, term) })
			loops.Go(func() { c.assignWorkers(ctx) })
		}
		loops.Wait()
	})
}

// isServingLeader reports whether this replica currently leads and may answer as the leader.
func (c *Control) isServingLeader() bool {
	c.mu.Lock()
	leads := c.cancelLoops != nil
	c.mu.Unlock()
	return leads && c.replica.IsLeader()
}

// commit proposes a command, waits until it is committed and returns its result.
func (c *Control) commit(ctx context.Context, command *wire.Command) (*wire.CommandResult, error) {
	result, err := c.propose(ctx, command)
	if err != nil {
		return nil, err
	}
	return result.(*wire.CommandResult), nil
}

// propose proposes a command, waits until it is committed and returns what applying it returned.
func (c *Control) propose(ctx context.Context, command *wire.Command) (any, error) {
	if command.TimeMs == 0 {
		command.TimeMs = time.Now().UnixMilli()
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, "command cannot be encoded", err)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, err := c.replica.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	if err, failed := result.(error); failed {
		return nil, verdict.New(verdict.NotRun, "command cannot be applied", err)
	}
	return result, nil
}

// SetSeeds replaces the drpc addresses, by replica ID, at which members of the group may be reached.
func (c *Control) SetSeeds(seeds map[uint64]string) {
	c.replica.SetSeeds(seeds)
}

// Ready returns why the process is not ready for use, nil if it is.
func (c *Control) Ready() error {
	info := c.replica.Info()
	if info.Err != nil {
		return fmt.Errorf("replica %d has failed and no longer participates: %w", c.settings.ID, info.Err)
	}
	if info.DiskFull {
		return fmt.Errorf("replica %d takes no part in its group: %w", c.settings.ID, disk.ErrFull)
	}
	if info.Recovering {
		return fmt.Errorf("replica %d lost its data directory and has not yet recovered", c.settings.ID)
	}
	if info.Leader == 0 {
		return fmt.Errorf("replica %d does not know a leader", c.settings.ID)
	}
	return nil
}

// Close hands leadership over, stops the loops, the listeners and the replica, and waits for all of them.
func (c *Control) Close() error {
	c.replica.TransferLeadership(context.Background())
	c.stopLoops()
	c.watchers.close()
	err := c.server.Close()
	c.goroutines.Wait()
	c.relays.Close()
	c.pauses.Close()
	return errors.Join(err, c.pool.Close(), c.replica.Close())
}

func (c *Control) stopLoops() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelLoops != nil {
		c.cancelLoops()
		c.cancelLoops = nil
	}
}
