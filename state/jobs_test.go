package state_test

import (
	"fmt"
	"testing"

	"daisyswitch/admit"
	"daisyswitch/job"
	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

const (
	running    = wire.TaskEventKind_TASK_EVENT_KIND_RUNNING
	done       = wire.TaskEventKind_TASK_EVENT_KIND_DONE
	failed     = wire.TaskEventKind_TASK_EVENT_KIND_FAILED
	checkpoint = wire.TaskEventKind_TASK_EVENT_KIND_CHECKPOINT
	stopped    = wire.TaskEventKind_TASK_EVENT_KIND_STOPPED
	notStarted = wire.TaskEventKind_TASK_EVENT_KIND_NOT_STARTED
	workerLost = wire.TaskEventKind_TASK_EVENT_KIND_WORKER_LOST
	stopping   = wire.TaskEventKind_TASK_EVENT_KIND_STOPPING
)

func newReadyMachine(t *testing.T) *checkedMachine {
	r := newCheckedMachine()
	for _, c := range setupCommands() {
		r.apply(c)
	}
	assert.Equal(t, len(r.Configuration().Domains), 2)
	return r
}

func (r *checkedMachine) start(id string, index int32, attempt uint32, worker string) bool {
	return r.apply(&wire.Command{Starts: []*wire.Start{{
		Job: id, Index: index, Attempt: attempt, Worker: worker, Size: &wire.Size{MilliCpu: 1000, MemoryMib: 1},
	}}}).Starts[0]
}

func (r *checkedMachine) applyEvent(id string, index int32, attempt uint32, kind wire.TaskEventKind, sequence uint64, data string) bool {
	return r.apply(&wire.Command{Events: []*wire.TaskEvent{{
		Task: &wire.TaskRef{Job: id, Index: index, Attempt: attempt}, Kind: kind, Checkpoint: sequence, CheckpointData: []byte(data), Reason: "told",
	}}}).Events[0]
}

func (r *checkedMachine) states(id string) []wire.TaskState {
	var all []wire.TaskState
	for _, task := range r.Job(id).Tasks {
		all = append(all, task.State)
	}
	return all
}

func TestResumeFromTheLastAcceptedCheckpoint(t *testing.T) {
	r := newReadyMachine(t)
	id := r.submit(t, "lots", 1)
	assert.Assert(t, r.start(id, 0, 1, "w1"))
	assert.Assert(t, r.applyEvent(id, 0, 1, running, 0, ""))
	assert.Assert(t, r.applyEvent(id, 0, 1, checkpoint, 2, "two"))
	assert.Assert(t, !r.applyEvent(id, 0, 1, checkpoint, 2, "again"), "checkpoint with the same sequence number")
	assert.Assert(t, !r.applyEvent(id, 0, 1, checkpoint, 1, "one"), "checkpoint with an older sequence number")
	assert.Assert(t, r.applyEvent(id, 0, 1, stopping, 0, ""))
	assert.Assert(t, r.applyEvent(id, 0, 1, stopped, 3, "three"))
	assert.DeepEqual(t, r.states(id), []wire.TaskState{wire.TaskState_TASK_STATE_CHECKPOINTED})
	assert.Assert(t, !r.start(id, 0, 1, "w2"), "start with the same attempt number")
	assert.Assert(t, r.start(id, 0, 2, "w2"))
	assert.Assert(t, !r.start(id, 0, 3, "w1"), "twice")
	assert.Assert(t, !r.applyEvent(id, 0, 1, checkpoint, 9, "late"), "event of an older attempt")
	assert.Assert(t, !r.applyEvent(id, 0, 1, done, 0, ""), "event of an older attempt")
	task := r.OnWorker("w2")[0].Task
	assert.Equal(t, string(task.CheckpointData), "three")
	assert.Equal(t, task.Evictions, uint32(1))
	assert.Assert(t, r.applyEvent(id, 0, 2, workerLost, 0, ""))
	assert.Equal(t, r.Job(id).Tasks[0].Checkpoint, uint64(3))
}

func TestEndToldLateCountsUntilTheTaskStartsAgain(t *testing.T) {
	r := newReadyMachine(t)
	id := r.submit(t, "lots", 3)
	for index := range int32(3) {
		assert.Assert(t, r.start(id, index, 1, "w1"))
		assert.Assert(t, r.applyEvent(id, index, 1, running, 0, ""))
		assert.Assert(t, r.applyEvent(id, index, 1, workerLost, 0, ""))
	}
	assert.Assert(t, r.applyEvent(id, 0, 1, done, 0, ""))
	assert.Assert(t, !r.start(id, 0, 2, "w1"), "start of a task that is done")
	assert.Assert(t, r.applyEvent(id, 1, 1, stopped, 4, "four"))
	assert.Assert(t, !r.applyEvent(id, 1, 1, stopped, 4, "again"))
	assert.Assert(t, r.start(id, 2, 2, "w1"))
	assert.Assert(t, !r.applyEvent(id, 2, 1, done, 0, ""), "event of the attempt before the restart")
	assert.DeepEqual(t, r.states(id), []wire.TaskState{
		wire.TaskState_TASK_STATE_DONE, wire.TaskState_TASK_STATE_CHECKPOINTED, wire.TaskState_TASK_STATE_STARTING,
	})
	assert.Equal(t, string(r.Job(id).Tasks[1].CheckpointData), "four")
}

func TestCancelTellsWhatRan(t *testing.T) {
	r := newReadyMachine(t)
	id, other := r.submit(t, "lots", 6), r.submit(t, "lots", 1)
	for i := range int32(4) {
		assert.Assert(t, r.start(id, i, 1, "w1"))
	}
	r.applyEvent(id, 1, 1, running, 0, "")
	r.applyEvent(id, 2, 1, running, 0, "")
	r.applyEvent(id, 3, 1, running, 0, "")
	r.applyEvent(id, 3, 1, stopped, 0, "") // queued again after it has run
	assert.Equal(t, r.apply(&wire.Command{Cancel: &wire.CancelJob{Operator: "ana", Sequence: 1, Job: id}}).Job.Outcome, wire.Outcome_OUTCOME_ACCEPTED)
	r.applyEvent(id, 0, 1, notStarted, 0, "")
	r.applyEvent(id, 1, 1, stopped, 0, "")
	r.applyEvent(id, 2, 1, done, 0, "")
	notRun, afterStart := wire.TaskState_TASK_STATE_CANCELLED_NOT_RUN, wire.TaskState_TASK_STATE_CANCELLED_AFTER_START
	assert.DeepEqual(t, r.states(id), []wire.TaskState{notRun, afterStart, wire.TaskState_TASK_STATE_DONE, afterStart, notRun, notRun})
	assert.DeepEqual(t, r.states(other), []wire.TaskState{wire.TaskState_TASK_STATE_QUEUED})
	assert.Equal(t, r.apply(&wire.Command{Cancel: &wire.CancelJob{Operator: "ana", Sequence: 2, Job: id}}).Job.Outcome, wire.Outcome_OUTCOME_REFUSED)
	assert.Equal(t, r.Tallies()[0].DoneToday, int64(1))
}

func TestLostServiceReplicaIsReplacedByANewTask(t *testing.T) {
	r := newReadyMachine(t)
	id := r.submit(t, "bids", 2)
	r.start(id, 0, 1, "w1")
	r.start(id, 1, 1, "w2")
	w := proto.CloneOf(r.Worker("w1"))
	w.Gone = true
	r.apply(&wire.Command{Workers: []*wire.WorkerRecord{w}})
	assert.DeepEqual(t, r.states(id), []wire.TaskState{wire.TaskState_TASK_STATE_LOST, wire.TaskState_TASK_STATE_STARTING, wire.TaskState_TASK_STATE_QUEUED})
	assert.Assert(t, !r.start(id, 0, 2, "w2"), "start of a replica that was lost")
	assert.Assert(t, !r.start(id, 2, 1, "w1"), "start on a worker that is gone")
	for attempt := range uint32(100) {
		r.start(id, 2+int32(attempt), 1, "w2")
		r.applyEvent(id, 2+int32(attempt), 1, workerLost, 0, "")
	}
	assert.Equal(t, len(r.Job(id).Tasks), job.MaxLostReplicas+2)
	assert.Equal(t, r.Totals().Classes[0].Queued, int64(1))
}

func TestFailuresAreBounded(t *testing.T) {
	r := newReadyMachine(t)
	id := r.submit(t, "lots", 1)
	for attempt := range uint32(job.BatchFailures) {
		assert.Assert(t, r.start(id, 0, attempt+1, "w1"))
		assert.Assert(t, r.applyEvent(id, 0, attempt+1, failed, 0, ""))
	}
	task := r.Job(id).Tasks[0]
	assert.Equal(t, task.State, wire.TaskState_TASK_STATE_FAILED)
	assert.Equal(t, task.Reason, "told")
	assert.Assert(t, !r.start(id, 0, job.BatchFailures+1, "w1"))
}

func TestShrinkingWorkerFollowsWhatIsCommitted(t *testing.T) {
	r := newReadyMachine(t)
	id := r.submit(t, "lots", 4)
	for i := range int32(4) {
		r.start(id, i, 1, "w1")
	}
	small := &wire.Size{MilliCpu: 2000, MemoryMib: 8}
	r.apply(&wire.Command{Workers: []*wire.WorkerRecord{{Name: "w1", Domain: "north", Incarnation: "a", Capacity: small}}})
	assert.Equal(t, r.Worker("w1").Capacity.MilliCpu, int64(4000))
	assert.Equal(t, r.Worker("w1").Offered.MilliCpu, int64(2000))
	for i := range int32(3) {
		r.applyEvent(id, i, 1, done, 0, "")
	}
	assert.Equal(t, r.Worker("w1").Capacity.MilliCpu, int64(2000))
	assert.Assert(t, r.Worker("w1").Offered == nil)
}

func TestJobsThatCanNeverRunAreRefused(t *testing.T) {
	r := newReadyMachine(t)
	cases := map[string]*wire.Job{
		"unknown class":       {Class: "none"},
		"unknown team":        {Team: "none"},
		"no tasks":            {Tasks: -1},
		"too many tasks":      {Tasks: admit.MaxTasks + 1},
		"no program":          {Program: "a b"},
		"size below zero":     {Size: &wire.Size{MilliCpu: -1, MemoryMib: 1}},
		"run time below zero": {ExpectedMs: -1},
		"more domains":        {MinDomains: 3, Tasks: 4},
		"domains below zero":  {MinDomains: -1},
		"beyond the quota":    {Size: &wire.Size{MilliCpu: 1 << 62}},
		"replicas and quota":  {Class: "bids", Tasks: 12, Size: &wire.Size{MilliCpu: 8000}},
		"fits on no worker":   {Size: &wire.Size{MilliCpu: 8001}},
	}
	for name, spec := range cases {
		whole := &wire.Job{Class: "lots", Team: "oak", Program: "p", Size: &wire.Size{MilliCpu: 1000}, Tasks: 1}
		proto.Merge(whole, spec)
		result := r.apply(&wire.Command{Submit: &wire.SubmitJob{Job: whole}}).Job
		assert.Equal(t, result.Outcome, wire.Outcome_OUTCOME_REFUSED, name)
		assert.Assert(t, result.Reason != "", name)
	}
	assert.Equal(t, len(r.Snapshot().Jobs), 0)
	out := &wire.Change{Operator: "ana", Sequence: 1, BaseVersion: r.Configuration().Version, Operation: &wire.Change_SetDomain{SetDomain: &wire.Domain{Name: "north", Out: true}}}
	assert.Equal(t, r.change(out).Outcome, wire.Outcome_OUTCOME_ACCEPTED)
	id := r.submit(t, "lots", 1)
	assert.Assert(t, !r.start(id, 0, 1, "w1"), "start in a domain that is out")
}

func TestEndedJobsAndGoneWorkersAreFolded(t *testing.T) {
	r := newReadyMachine(t)
	var last string
	for range job.MaxEndedJobs + 50 {
		last = r.submit(t, "lots", 1)
		r.apply(&wire.Command{Cancel: &wire.CancelJob{Job: last}})
	}
	assert.Equal(t, len(r.Snapshot().Jobs), job.MaxEndedJobs)
	assert.Assert(t, r.Job("j1") == nil)
	assert.Assert(t, r.Job(last) != nil)
	for i := range job.MaxGoneWorkers + 50 {
		w := &wire.WorkerRecord{Name: fmt.Sprint("g", i), Domain: "north", Incarnation: "a", Capacity: &wire.Size{MilliCpu: 1}}
		gone := proto.CloneOf(w)
		gone.Gone = true
		r.apply(&wire.Command{Workers: []*wire.WorkerRecord{w, gone}})
	}
	assert.Equal(t, len(r.Snapshot().Workers), job.MaxGoneWorkers+2)
}
