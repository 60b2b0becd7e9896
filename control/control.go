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
	"daisyswitch/dispatch"
	"daisyswitch/event"
	"daisyswitch/group"
	"daisyswitch/inner"
	"daisyswitch/lease"
	"daisyswitch/measure"
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

const commitTime = 2 * time.Second // longest wait for a quorum

// Options configures a Control.
type Options struct {
	Settings *settings.Control
	Dial     func(ctx context.Context, address string) (net.Conn, error) // to other replicas; TCP when nil
	Listen   func(address string) (net.Listener, error)                  // TCP when nil
	Boot     func() time.Duration                                        // clock of leases; the monotonic one when nil
	Called   *Called                                                     // how workers are called; nil if all of them poll
	Found    *Found                                                      // set if the settings' list of replicas only says where some may be found
}

// Found says how a group of replicas forms and changes that no settings name in full.
type Found struct {
	First  bool // no group has been formed yet
	Losses int  // replicas that may be lost at once
}

func (f *Found) losses() int {
	if f == nil {
		return 0
	}
	return f.Losses
}

// Called says how workers are called, and how long their leases are.
type Called struct {
	Calls        call.Functions
	Lease        time.Duration // given to workers
	LongestLease time.Duration // that any leader may have given
}

// Control is one control process.
// Locks are taken in the order mu, leases, state machine, workflows, and last one of measures, watchers, announced and the loops'.
type Control struct {
	settings  *settings.Control
	replica   *replica.Replica
	machine   *state.Machine
	leases    *lease.Table
	measures  *measure.Table
	watchers  *watchers
	schedule  *schedule.Loop
	workflows *workflow.Table
	dispatch  *dispatch.Loop // nil if all workers poll
	announced announced
	counters  *counters
	server    *inner.Server
	wait      group.Group

	mu        sync.Mutex // guards what follows
	stopLead  context.CancelFunc
	loopEnded <-chan struct{} // closed when the last loop has ended
}

// New starts the replica on its data folder and serves the other processes.
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
	}
	c.machine = state.New(state.Options{
		AuditKeep:            int(s.AuditKeep),
		AnswersKeep:          int(s.AnswersKeep),
		TaskChanged:          func(j *wire.Job, t *wire.Task) { c.schedule.TaskChanged(j, t) },
		WorkerChanged:        func(w *wire.WorkerRecord) { c.schedule.WorkerChanged(w) },
		ConfigurationChanged: c.configurationChanged,
	})
	c.counters = c.newCounters()
	c.schedule = schedule.New(schedule.Options{
		Machine: c.machine,
		Leases:  c.leases,
		Commit:  c.commit,
		Decided: c.counters.decide.UpdateDuration,
		Applied: c.counters.applied,
	})
	c.newWorkflows(o)
	if err := c.open(o); err != nil {
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
		ID:            c.settings.ID,
		Peers:         addresses,
		Address:       c.settings.Inner,
		Domain:        c.settings.Domain,
		Found:         o.Found != nil,
		First:         o.Found != nil && o.Found.First,
		Losses:        o.Found.losses(),
		Dir:           filepath.Clean(c.settings.Data),
		Dial:          o.Dial,
		Tick:          time.Duration(c.settings.TickMS) * time.Millisecond,
		ElectionTicks: int(c.settings.ElectionTicks),
		SnapshotEvery: c.settings.SnapshotEvery,
		Boot:          o.Boot,
		Apply:         c.apply,
		Snapshot:      c.snapshot,
		Restore:       c.restore,
		Leading:       c.leading,
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

// apply carries out one committed record; a record that cannot be read was never written by us.
func (c *Control) apply(index uint64, data []byte) any {
	var command wire.Command
	if err := proto.Unmarshal(data, &command); err != nil {
		return fmt.Errorf("record %d: %w", index, err)
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
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := c.machine.Restore(&s); err != nil {
		return err
	}
	return c.workflows.Restore(s.GetWorkflows())
}

// leading starts or ends the scheduling loop with the replica's leadership.
func (c *Control) leading(leading bool, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopLead != nil {
		c.stopLead()
		c.stopLead = nil
	}
	if !leading {
		event.LeadershipLost.Info("term", term)
		return
	}
	event.LeadershipGained.Info("term", term, "replica", c.settings.ID)
	c.leases.Lead(time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	c.stopLead = cancel
	c.announced.clear()
	c.runAfter(ctx, c.loopEnded, term)
}

// runAfter runs the loops once those of an earlier leadership have ended, since both use the same tables.
func (c *Control) runAfter(ctx context.Context, earlier <-chan struct{}, term uint64) {
	ended := make(chan struct{})
	c.loopEnded = ended
	c.wait.Go(func() {
		defer close(ended)
		if earlier != nil {
			<-earlier
		}
		var loops group.Group
		loops.Go(func() { c.schedule.Run(ctx) })
		if c.dispatch != nil {
			loops.Go(func() { c.dispatch.Run(ctx, term) })
		}
		loops.Wait()
	})
}

// serves reports whether this replica may answer as the leader right now.
func (c *Control) serves() bool {
	c.mu.Lock()
	begun := c.stopLead != nil
	c.mu.Unlock()
	return begun && c.replica.IsLeader()
}

// commit has a command committed and returns what it did.
func (c *Control) commit(ctx context.Context, command *wire.Command) (*wire.CommandResult, error) {
	result, err := c.propose(ctx, command)
	if err != nil {
		return nil, err
	}
	return result.(*wire.CommandResult), nil
}

// propose has a command committed and returns what applying it returned.
func (c *Control) propose(ctx context.Context, command *wire.Command) (any, error) {
	if command.TimeMs == 0 {
		command.TimeMs = time.Now().UnixMilli()
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, "command cannot be encoded", err)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTime)
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

// SetSeeds replaces the drpc addresses, by replica, where the group may be found.
func (c *Control) SetSeeds(seeds map[uint64]string) {
	c.replica.SetSeeds(seeds)
}

// Ready says why the process is not ready for use, nil if it is.
func (c *Control) Ready() error {
	info := c.replica.Info()
	if info.Err != nil {
		return fmt.Errorf("replica %d takes no part any more: %w", c.settings.ID, info.Err)
	}
	if info.Recovering {
		return fmt.Errorf("replica %d has lost its disk and is not yet repaired", c.settings.ID)
	}
	if info.Leader == 0 {
		return fmt.Errorf("replica %d knows no leader", c.settings.ID)
	}
	return nil
}

// Close ends the scheduling loop, the listeners and the replica, and waits.
func (c *Control) Close() error {
	c.replica.HandOver(context.Background())
	c.leadingEnds()
	c.watchers.close()
	err := c.server.Close()
	c.wait.Wait()
	return errors.Join(err, c.replica.Close())
}

func (c *Control) leadingEnds() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopLead != nil {
		c.stopLead()
		c.stopLead = nil
	}
}
