package control

import (
	"context"
	"sync"
	"time"

	"daisyswitch/admit"
	"daisyswitch/dispatch"
	"daisyswitch/event"
	"daisyswitch/verdict"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

func (c *Control) newWorkflows(o Options) {
	if o.Called == nil {
		c.workflows = workflow.New(workflow.Options{})
		return
	}
	c.dispatch = dispatch.New(dispatch.Options{
		Calls:     c.relays.Functions(),
		Commit:    c.commitWorkflow,
		Leads:     func() bool { return c.replica.IsLeader() },
		SinceBoot: c.sinceBoot,
		Wall:      time.Now,
		Lease:     o.Called.Lease,
		MaxLease:  o.Called.LongestLease,
		Lookahead: o.Called.Lookahead,
		Metrics:   c.counters.set,
	})
	c.workflows = workflow.New(workflow.Options{Changed: c.dispatch.Changed, Assigned: c.dispatch.Assigned, Closed: c.dispatch.Closed, Ended: c.dispatch.Ended})
	c.dispatch.SetTable(c.workflows)
}

// commitWorkflow proposes a workflow command, waits until it is committed and returns its result.
func (c *Control) commitWorkflow(ctx context.Context, command *wire.WorkflowCommand) (*workflow.Result, error) {
	command.ByPlace, command.ForgetOldest = true, true
	result, err := c.propose(ctx, &wire.Command{Workflow: command})
	if err != nil {
		return nil, err
	}
	return result.(*workflow.Result), nil
}

// checkLeader returns an error that names the leader unless this replica currently leads.
func (c *Control) checkLeader() error {
	if c.isServingLeader() {
		return nil
	}
	info := c.replica.Info()
	cause := &NotLeader{}
	if info.Leader != c.settings.ID {
		cause.Leader = info.LeaderAddress
	}
	return verdict.New(verdict.NotRun, "this replica does not lead", cause)
}

// NotLeader is the cause of a refusal by a replica that does not lead.
type NotLeader struct {
	Leader string // drpc address, empty if unknown
}

// Error gives the leader's address if it is known.
func (e *NotLeader) Error() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return "the leader is at " + e.Leader
}

// announcements holds the latest announcement of each worker that this leader has received.
type announcements struct {
	mu     sync.Mutex
	latest map[string]announcement
}

type announcement struct {
	born, sequence int64
}

func (a *announcements) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latest = map[string]announcement{}
}

// recordIfNewer records an announcement and returns true, unless a later one from the same worker was already received.
func (a *announcements) recordIfNewer(worker string, born, sequence int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	latest, known := a.latest[worker]
	if known && (born < latest.born || born == latest.born && sequence < latest.sequence) {
		return false
	}
	a.latest[worker] = announcement{born, sequence}
	return true
}

// Announce processes a worker's announcement of itself. An announcement older than the latest one is ignored, as is one of another writer, whose pool nothing uses.
func (c *Control) Announce(ctx context.Context, w *wire.CalledWorker, sequence int64) error {
	if err := c.checkLeader(); err != nil {
		return err
	}
	foreign := false
	c.workflows.View(func(t *workflow.Tables) { foreign = !t.MayAnnounce(w) })
	if foreign {
		event.AnnouncementForeign.Info("worker", w.GetId(), "born", w.GetBorn(), "sequence", sequence, "address", w.GetAddress(), "pool", w.GetPool())
		return nil
	}
	if !c.announcements.recordIfNewer(w.GetId(), w.GetBorn(), sequence) {
		event.AnnouncementOvertaken.Info("worker", w.GetId(), "born", w.GetBorn(), "sequence", sequence)
		return nil
	}
	known := false
	c.workflows.View(func(t *workflow.Tables) { known = t.Recorded(w) })
	if known {
		return nil
	}
	event.WorkerAnnouncedItself.Info("worker", w.GetId(), "born", w.GetBorn(), "sequence", sequence, "address", w.GetAddress(), "domain", w.GetDomain(), "leaving", w.GetLeaving(), "gone", w.GetGone())
	_, err := c.commitWorkflow(ctx, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{w}})
	return err
}

// Leave records that a worker says that it has ended. A departure that names no incarnation, by a born of 0, counts only for a worker that is known to be leaving: a late one may be that of an earlier incarnation.
func (c *Control) Leave(ctx context.Context, id string, born int64) error {
	if err := c.checkLeader(); err != nil {
		return err
	}
	known := false
	c.workflows.View(func(t *workflow.Tables) {
		if w := t.Workers[id]; w != nil && (w.GetBorn() == born || born == 0 && w.GetLeaving()) {
			known, born = true, w.GetBorn()
		}
	})
	if !known {
		event.DepartureIgnored.Info("worker", id, "born", born)
		return nil
	}
	event.WorkerDeparted.Info("worker", id, "born", born)
	if c.dispatch == nil {
		_, err := c.commitWorkflow(ctx, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{{Id: id, Born: born, Departed: true}}})
		return err
	}
	if err := c.dispatch.Depart(ctx, id, born); err != nil {
		if lost := c.checkLeader(); lost != nil {
			return lost
		}
		return err
	}
	return nil
}

// Workflows answers the requests of one gateway until its connection ends.
func (c *Control) Workflows(stream wire.DRPCControl_WorkflowsStream) error {
	s := &workflowStream{c: c, stream: stream}
	for {
		request, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := s.handle(request); err != nil {
			return err
		}
	}
}

// workflowStream sends replies to one gateway.
type workflowStream struct {
	c      *Control
	stream wire.DRPCControl_WorkflowsStream
	mu     sync.Mutex // serializes Send, which must not be called concurrently
}

func (s *workflowStream) send(r *wire.WorkflowReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Send(r)
}

// handle answers a read request immediately and any other request once its command is committed.
func (s *workflowStream) handle(request *wire.WorkflowRequest) error {
	reply := &wire.WorkflowReply{Number: request.GetNumber(), Answer: wire.WorkflowAnswer_WORKFLOW_ANSWER_OK}
	if request.GetKind() == wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_HELLO {
		reply.Replicas = s.c.replicaAddresses()
	}
	if !s.c.isServingLeader() {
		reply.Answer, reply.Failure = wire.WorkflowAnswer_WORKFLOW_ANSWER_FAILURE, s.c.notLeaderFailure()
		return s.send(reply)
	}
	if request.GetKind() == wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_HELLO {
		return s.send(reply)
	}
	command := s.c.answerFromState(request, reply)
	if command == nil {
		s.c.countRefusal(request, reply)
		return s.send(reply)
	}
	s.c.goroutines.Go(func() {
		s.c.answerByCommit(s.stream.Context(), request, command, reply)
		s.c.memory.release(command.GetSubmit())
		s.c.countRefusal(request, reply)
		if err := s.send(reply); err != nil {
			event.AnswerNotSent.Error(err, "workflow", request.GetWorkflow().GetId(), "answer", reply.GetAnswer().String())
		}
	})
	return nil
}

func (c *Control) replicaAddresses() []string {
	var addresses []string
	for _, m := range c.replica.Info().Members.GetMembers() {
		if m.GetAddress() != "" {
			addresses = append(addresses, m.GetAddress())
		}
	}
	return addresses
}

// answerFromState fills in the reply if the current state is enough. Otherwise it returns the command that has to be committed first.
func (c *Control) answerFromState(request *wire.WorkflowRequest, reply *wire.WorkflowReply) *wire.WorkflowCommand {
	var command *wire.WorkflowCommand
	full, weight := false, 0.0
	c.workflows.View(func(t *workflow.Tables) {
		if t.Queues == nil {
			reply.Answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_FAILURE
			reply.Failure = &wire.Failure{Verdict: wire.Verdict_VERDICT_NOT_RUN, Reason: "there is no configuration yet"}
			return
		}
		var answered bool
		if command, answered = answerResent(t, request); answered {
			return
		}
		queue, id := t.QueueFor(request.GetHost(), request.GetPath())
		if queue == nil {
			reply.Answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_QUEUE
			return
		}
		workspace, allowed := t.Caller(queue, request.GetKey())
		if !allowed {
			reply.Answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_UNKNOWN_KEY
			return
		}
		command = answerInQueue(t, queue, id, workspace, request, reply)
		if command != nil && workspace != "" {
			command.Key = request.GetKey()
		}
		if w := command.GetSubmit(); w != nil && workspace != "" {
			full = c.dispatch != nil && c.dispatch.IsFull(queue.GetPool(), w)
			weight = t.Weight(workspace)
		}
	})
	if w := command.GetSubmit(); w.GetWorkspace() != "" && !c.admit(w, weight, full, reply) {
		return nil
	}
	if w := command.GetSubmit(); w != nil && !c.reserveMemory(w, reply) {
		return nil
	}
	return command
}

// answerResent answers a request of which an earlier try may have run from the workflow that it names, since a configuration may have dropped the queue after that try. answered is false if there is no such workflow.
func answerResent(t *workflow.Tables, request *wire.WorkflowRequest) (command *wire.WorkflowCommand, answered bool) {
	if !request.GetResent() {
		return nil, false
	}
	job := t.JobAt(request.GetHost(), request.GetPath())
	if job == nil || !t.IsReachable(job, request.GetKey()) {
		return nil, false
	}
	switch request.GetKind() {
	case wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_SUBMIT:
		return nil, true
	case wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_CANCEL:
		return &wire.WorkflowCommand{Cancel: job.Spec.GetId(), Key: request.GetKey()}, true
	default:
		return nil, false
	}
}

func answerInQueue(t *workflow.Tables, queue *wire.Queue, id, workspace string, request *wire.WorkflowRequest, reply *wire.WorkflowReply) *wire.WorkflowCommand {
	job := t.Jobs[id]
	if job != nil && !job.In(queue) {
		if request.GetKind() == wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_SUBMIT {
			answerInvalid(reply, workflow.ErrIDInUse.Error())
			return nil
		}
		job = nil
	}
	if job != nil && !t.MayReach(workspace, queue, job) {
		answerOtherWorkspace(request, reply)
		return nil
	}
	switch request.GetKind() {
	case wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_SUBMIT:
		if job != nil {
			return nil
		}
		w := request.GetWorkflow()
		if w == nil {
			w = &wire.Workflow{}
		}
		w.Id, w.Queue, w.Host, w.PathPrefix, w.Workspace = id, queue.GetName(), queue.GetHost(), queue.GetPathPrefix(), workspace
		if err := admit.NewWorkflow(w); err != nil {
			answerInvalid(reply, err.Error())
			return nil
		}
		return &wire.WorkflowCommand{Submit: w}
	case wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_CANCEL:
		if job == nil {
			reply.Answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_WORKFLOW
			return nil
		}
		return &wire.WorkflowCommand{Cancel: id}
	}
	switch {
	case id == "":
		reply.Waiting = t.WaitingJobs(queue)
	case job == nil:
		reply.Answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_WORKFLOW
	default:
		reply.State = job.State()
	}
	return nil
}

// answerOtherWorkspace refuses a request for a workflow of another workspace.
func answerOtherWorkspace(request *wire.WorkflowRequest, reply *wire.WorkflowReply) {
	if request.GetKind() == wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_SUBMIT {
		answerInvalid(reply, workflow.ErrIDInUse.Error())
		return
	}
	reply.Answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_OTHER_WORKSPACE
}

func answerInvalid(reply *wire.WorkflowReply, reason string) {
	reply.Answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_INVALID
	reply.Failure = &wire.Failure{Verdict: wire.Verdict_VERDICT_NOT_RUN, Reason: reason}
}

// answerByCommit commits a command and fills in the reply from its result.
func (c *Control) answerByCommit(ctx context.Context, request *wire.WorkflowRequest, command *wire.WorkflowCommand, reply *wire.WorkflowReply) {
	result, err := c.commitWorkflow(ctx, command)
	if err != nil {
		reply.Answer, reply.Failure = wire.WorkflowAnswer_WORKFLOW_ANSWER_FAILURE, c.failure(err)
	} else {
		reply.Answer = result.Answer
		if result.Answer == wire.WorkflowAnswer_WORKFLOW_ANSWER_INVALID {
			answerInvalid(reply, result.Reason)
		}
	}
	event.WorkflowAnswered.Info("workflow", command.GetSubmit().GetId()+command.GetCancel(), "request", request.GetKind().String(),
		"answer", reply.GetAnswer().String(), "reason", result.GetReason(), "failure", reply.GetFailure().GetReason())
}
