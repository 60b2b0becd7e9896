package control

import (
	"context"
	"errors"
	"time"

	"daisyswitch/event"
	"daisyswitch/inner"
	"daisyswitch/lease"
	"daisyswitch/verdict"
	"daisyswitch/wire"
)

const keepAliveInterval = time.Second // an entry that receives nothing for two intervals switches to another replica

// Propose commits an operator's command.
func (c *Control) Propose(ctx context.Context, request *wire.ProposeRequest) (*wire.ProposeReply, error) {
	if !c.isServingLeader() {
		return &wire.ProposeReply{Failure: c.notLeaderFailure()}, nil
	}
	result, err := c.commit(ctx, operatorCommand(request.Command))
	if err != nil {
		return &wire.ProposeReply{Failure: c.failure(err)}, nil
	}
	c.logAnswer(request.Command, result)
	return &wire.ProposeReply{Result: result}, nil
}

// operatorCommand copies only the parts that an operator may propose and leaves out those reserved for the leader.
func operatorCommand(c *wire.Command) *wire.Command {
	return &wire.Command{TimeMs: c.GetTimeMs(), Change: c.GetChange(), Submit: c.GetSubmit(), Cancel: c.GetCancel()}
}

func (c *Control) logAnswer(command *wire.Command, result *wire.CommandResult) {
	if change := command.GetChange(); change != nil {
		event.ChangeAnswered.Info("operator", change.Operator, "sequence", change.Sequence,
			"outcome", result.GetChange().GetOutcome(), "version", result.GetChange().GetVersion())
	}
}

func (c *Control) notLeaderFailure() *wire.Failure {
	return c.failure(verdict.New(verdict.NotRun, "this replica does not lead", nil))
}

func (c *Control) failure(err error) *wire.Failure {
	return &wire.Failure{
		Verdict: inner.ToWire(verdict.Of(err)),
		Reason:  err.Error(),
		Leader:  c.replica.Info().LeaderAddress,
	}
}

// Report processes a batch of worker reports, commits their effects and replies to each worker with its lease and orders.
func (c *Control) Report(ctx context.Context, batch *wire.ReportBatch) (*wire.ReportBatchReply, error) {
	if !c.isServingLeader() {
		return &wire.ReportBatchReply{Failure: c.notLeaderFailure()}, nil
	}
	now := time.Now()
	c.measures.Heard(now, batch)
	for _, s := range batch.Samples {
		c.schedule.Sampled(batch.Domain, s)
	}
	outcomes, command := c.receiveReports(now, batch)
	if len(command.Events) > 0 || len(command.Workers) > 0 {
		if _, err := c.commit(ctx, command); err != nil {
			return &wire.ReportBatchReply{Failure: c.failure(err)}, nil
		}
	}
	if !c.isServingLeader() {
		return &wire.ReportBatchReply{Failure: c.notLeaderFailure()}, nil
	}
	return &wire.ReportBatchReply{Replies: c.workerReplies(batch, outcomes)}, nil
}

// receiveReports collects the effects of all reports of a batch in one command.
func (c *Control) receiveReports(now time.Time, batch *wire.ReportBatch) ([]lease.Outcome, *wire.Command) {
	command := &wire.Command{}
	outcomes := make([]lease.Outcome, len(batch.Reports))
	for i, r := range batch.Reports {
		name := r.GetWorker().GetName()
		outcome := c.leases.Receive(now, r, c.machine.OnWorker(name), c.machine.Worker(name))
		outcomes[i] = outcome
		c.counters.reports.Inc()
		if outcome.Refusal != "" {
			c.counters.refused.Inc()
			continue
		}
		command.Events = append(command.Events, outcome.Events...)
		if outcome.Worker != nil {
			command.Workers = append(command.Workers, outcome.Worker)
		}
		c.schedule.Reported(r)
	}
	return outcomes, command
}

func (c *Control) workerReplies(batch *wire.ReportBatch, outcomes []lease.Outcome) []*wire.WorkerReply {
	now := time.Now()
	out := outDomains(c.machine.Configuration())
	throttles := c.schedule.Throttles()
	replies := make([]*wire.WorkerReply, len(outcomes))
	for i, r := range batch.Reports {
		if outcomes[i].Refusal != "" {
			replies[i] = &wire.WorkerReply{Refusal: outcomes[i].Refusal}
			continue
		}
		held := c.machine.OnWorker(r.GetWorker().GetName())
		replies[i] = c.leases.Answer(now, r, held, out, throttles)
	}
	return replies
}

func outDomains(configuration *wire.Configuration) func(string) bool {
	out := map[string]bool{}
	for _, d := range configuration.GetDomains() {
		out[d.Name] = d.Out
	}
	return func(domain string) bool { return out[domain] }
}

var errStale = errors.New("this replica has no leader or is recovering its data, so its configuration may be stale")

// Watch sends each accepted configuration and a keep-alive message every second. It ends when this replica may be stale.
func (c *Control) Watch(request *wire.WatchRequest, stream wire.DRPCControl_WatchStream) error {
	updates, cancel := c.watchers.add()
	defer cancel()
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	version := request.Version
	for {
		message, current := c.watchEvent(&version)
		if err := stream.Send(message); err != nil {
			return err
		}
		if !current {
			return errStale
		}
		select {
		case <-stream.Context().Done():
			return nil
		case _, open := <-updates:
			if !open {
				return nil
			}
		case <-ticker.C:
		}
	}
}

// watchEvent returns the next message for a watch that has received version, and whether this replica is up to date enough to follow.
// A replica that is recovering from the loss of its disk sends no configuration.
func (c *Control) watchEvent(version *uint64) (message *wire.WatchEvent, current bool) {
	info := c.replica.Info()
	if info.Recovering || info.Applied == 0 {
		return &wire.WatchEvent{}, false
	}
	configuration := c.machine.Configuration()
	if configuration.GetVersion() <= *version {
		return &wire.WatchEvent{}, info.Leader != 0
	}
	*version = configuration.GetVersion()
	return &wire.WatchEvent{Configuration: configuration}, info.Leader != 0
}
