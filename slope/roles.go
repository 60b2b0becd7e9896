package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"time"

	"daisyswitch/lease"
	"daisyswitch/resource"
	"daisyswitch/state"
	"daisyswitch/upstream"
	"daisyswitch/wire"
	"daisyswitch/worker"

	"github.com/julienschmidt/httprouter"
	"google.golang.org/protobuf/proto"
)

const (
	leader     = "control leader"
	follower   = "control follower"
	entry      = "entry"
	workerSide = "worker's side"
	seconds    = 5 // of simulated load per measurement of reports
)

// Measures returns all measures of the page.
func Measures() []*Measure {
	return []*Measure{
		{Role: leader, Name: "processor time for one second of workers' reports", Unit: "ms/s", Per: "worker", Sizes: []int{100, 200, 400, 800}, RunsPerSize: 3, Cost: reportCost, DesignSize: designWorkers},
		{Role: leader, Name: "processor time to decide and apply starts", Unit: "ms", Per: "start", Sizes: []int{1000, 2000, 4000, 8000}, RunsPerSize: 3, Cost: startCost, DesignSize: designStarts},
		{Role: leader, Name: "memory of state and policy", Unit: "MiB", Per: "running task", Sizes: []int{2000, 4000, 8000, 16000}, RunsPerSize: 1, Cost: leaderMemory, DesignSize: designTasks},
		{Role: leader, Name: "records to each follower for one second of starts, each started, checkpointed and done", Unit: "KiB/s", Per: "start a second", Sizes: []int{100, 200, 400, 800}, RunsPerSize: 1, Cost: recordBytes, DesignSize: designStarts},
		{Role: follower, Name: "processor time to apply one second of starts, each started, checkpointed and done", Unit: "ms/s", Per: "start a second", Sizes: []int{1000, 2000, 4000, 8000}, RunsPerSize: 3, Cost: followerCost, DesignSize: designStarts},
		{Role: follower, Name: "memory of the state", Unit: "MiB", Per: "running task", Sizes: []int{2000, 4000, 8000, 16000}, RunsPerSize: 1, Cost: followerMemory, DesignSize: designTasks},
		{Role: follower, Name: "snapshot", Unit: "MiB", Per: "running task", Sizes: []int{2000, 4000, 8000, 16000}, RunsPerSize: 1, Cost: snapshotMiB, DesignSize: designTasks},
		{Role: entry, Name: "processor time for one second of workers' polls, decoded, passed on and answered", Unit: "ms/s", Per: "worker of the domain", Sizes: []int{25, 50, 100, 200}, RunsPerSize: 3, Cost: pollCost, DesignSize: designWorkers / designDomains},
		{Role: entry, Name: "bytes of reports to control", Unit: "KiB/s", Per: "worker of the domain", Sizes: []int{25, 50, 100, 200}, RunsPerSize: 1, Cost: reportBytes, DesignSize: designWorkers / designDomains},
		{Role: entry, Name: "bytes of announcements in one exchange with one neighbor", Unit: "KiB", Per: "upstream", Sizes: []int{50, 100, 200, 400}, RunsPerSize: 1, Cost: gossipBytes, DesignSize: designWorkers},
		{Role: entry, Name: "memory of the table of upstreams", Unit: "MiB", Per: "upstream", Sizes: []int{50, 100, 200, 400}, RunsPerSize: 1, Cost: registryMemory, DesignSize: designWorkers},
		{Role: workerSide, Name: "bytes of one poll", Unit: "KiB/s", Per: "task on the worker", Sizes: []int{5, 10, 20, 40}, RunsPerSize: 1, Cost: pollBytes, DesignSize: tasksPerWorker},
	}
}

// reportCost returns the processor time of one second of reports on the leader, from decoding the reports to encoding the replies.
func reportCost(workers int) float64 {
	c := newRunningCluster(workers, workers*tasksPerWorker)
	table := lease.New(lease.Options{})
	table.StartTerm(c.now)
	batches := make([][]byte, 0, workers*seconds)
	for s := range seconds {
		for i := range workers {
			batches = append(batches, encode(&wire.ReportBatch{Entry: "e", Reports: []*wire.WorkerReport{c.report(i, uint64(s+1))}}))
		}
	}
	inService := func(string) bool { return false }
	return cpuMillis(func() {
		for _, data := range batches {
			var batch wire.ReportBatch
			if err := proto.Unmarshal(data, &batch); err != nil {
				panic(err)
			}
			r := batch.Reports[0]
			name := r.Worker.Name
			outcome := table.Receive(c.now, r, c.machine.OnWorker(name), c.machine.Worker(name))
			if outcome.Refusal != "" {
				panic(outcome.Refusal)
			}
			c.placer.Observe(c.now, r)
			encode(table.Answer(c.now, r, c.machine.OnWorker(name), inService, nil))
		}
	}) / seconds
}

// report returns the report of worker i on the tasks that the state holds for it.
func (c *cluster) report(i int, sequence uint64) *wire.WorkerReport {
	r := report(i, 0, sequence)
	for _, h := range c.machine.OnWorker(r.Worker.Name) {
		r.Tasks = append(r.Tasks, taskReport(h.Job.Id, h.Task.Index, h.Task.Attempt))
	}
	return r
}

func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

func startCost(starts int) float64 {
	c := newCluster(designWorkers)
	c.submit(starts)
	return cpuMillis(func() {
		if _, started := c.placeAndStart(); started != starts {
			panic(fmt.Sprintf("%d of %d tasks were started", started, starts))
		}
	})
}

func leaderMemory(tasks int) float64 {
	return heapMiB(func() any { return newRunningCluster(designWorkers, tasks) })
}

// lifecycleRecords returns the log records of the given number of tasks from start to end, batched as by the scheduling loop.
func lifecycleRecords(tasks int) (*cluster, [][]byte) {
	c := newCluster(designWorkers)
	c.submit(tasks)
	var records [][]byte
	commands, _ := c.placeAndStart()
	for _, command := range commands {
		records = append(records, encode(command))
	}
	for _, kind := range []wire.TaskEventKind{
		wire.TaskEventKind_TASK_EVENT_KIND_RUNNING,
		wire.TaskEventKind_TASK_EVENT_KIND_CHECKPOINT,
		wire.TaskEventKind_TASK_EVENT_KIND_DONE,
	} {
		records = append(records, c.eventRecords(kind)...)
	}
	return c, records
}

func (c *cluster) eventRecords(kind wire.TaskEventKind) [][]byte {
	const perRecord = 20 // as from one batch of reports
	var records [][]byte
	command := &wire.Command{}
	c.machine.EachTask(func(j *wire.Job, t *wire.Task) {
		ref := &wire.TaskRef{Job: j.Id, Index: t.Index, Attempt: t.Attempt}
		command.Events = append(command.Events, &wire.TaskEvent{Task: ref, Kind: kind, Checkpoint: 1})
		if len(command.Events) == perRecord {
			records = append(records, encode(command))
			command = &wire.Command{}
		}
	})
	return append(records, encode(command))
}

func recordBytes(starts int) float64 {
	_, records := lifecycleRecords(starts)
	total := 0
	for _, r := range records {
		total += len(r)
	}
	return float64(total) / 1024
}

func followerCost(starts int) float64 {
	_, records := lifecycleRecords(starts)
	c := newCluster(designWorkers)
	machine := state.New(state.Options{})
	if err := machine.Restore(c.machine.Snapshot()); err != nil {
		panic(err)
	}
	c.machine = machine
	c.submit(starts)
	return cpuMillis(func() {
		for _, data := range records {
			var command wire.Command
			if err := proto.Unmarshal(data, &command); err != nil {
				panic(err)
			}
			c.apply(&command)
		}
	})
}

func followerMemory(tasks int) float64 {
	snapshot := newRunningCluster(designWorkers, tasks).machine.Snapshot()
	data := encode(snapshot)
	grown := heapMiB(func() any {
		var own wire.State
		if err := proto.Unmarshal(data, &own); err != nil {
			panic(err)
		}
		machine := state.New(state.Options{})
		if err := machine.Restore(&own); err != nil {
			panic(err)
		}
		return machine
	})
	runtime.KeepAlive(snapshot)
	runtime.KeepAlive(data)
	return grown
}

func snapshotMiB(tasks int) float64 {
	return float64(len(encode(newRunningCluster(designWorkers, tasks).machine.Snapshot()))) / (1 << 20)
}

func pollBytes(tasks int) float64 {
	return float64(len(pollBody(0, tasks, 1))) / 1024
}

// pollBody returns the body of a worker's poll.
func pollBody(i, tasks int, sequence uint64) []byte {
	record := workerRecord(i)
	body := worker.Report{
		Name:        record.Name,
		Domain:      record.Domain,
		Rack:        record.Rack,
		Incarnation: record.Incarnation,
		Sequence:    sequence,
		Capacity:    resource.FromWire(record.Capacity),
	}
	for t := range tasks {
		body.Tasks = append(body.Tasks, worker.TaskReport{
			Job:         fmt.Sprintf("job-%d", i),
			Index:       int32(t),
			Attempt:     1,
			Phase:       worker.PhaseRunning,
			Used:        resource.Size{MilliCPU: 800, MemoryMiB: 1_500},
			ProgressPPM: 950_000,
		})
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// pollCost returns the processor time of one second of polls on an entry, without the connections.
func pollCost(workers int) float64 {
	front := worker.New(worker.Options{
		Report:  stubControl,
		Version: func() uint64 { return 1 },
		Samples: func() []*wire.ServiceSample { return nil },
	})
	defer func() { _ = front.Close() }()
	router := httprouter.New()
	router.POST(worker.PollPath, front.Poll)
	var bodies [][]byte
	for i := range workers * seconds {
		bodies = append(bodies, pollBody(i%workers, tasksPerWorker, uint64(i/workers+1)))
	}
	return cpuMillis(func() {
		for i, body := range bodies {
			path := "/v1/workers/" + workerRecord(i%workers).Name + "/poll"
			answer := httptest.NewRecorder()
			router.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
			if answer.Code != http.StatusOK {
				panic(answer.Body.String())
			}
		}
	}) / seconds
}

// stubControl stands in for control. It encodes the batch so that this cost is included.
func stubControl(_ context.Context, batch *wire.ReportBatch) (*wire.ReportBatchReply, error) {
	encode(batch)
	reply := &wire.ReportBatchReply{}
	for range batch.Reports {
		reply.Replies = append(reply.Replies, &wire.WorkerReply{LeaseMs: 10_000})
	}
	return reply, nil
}

func reportBytes(workers int) float64 {
	total := 0
	for i := range workers {
		total += proto.Size(report(i, tasksPerWorker, 1))
	}
	return float64(total) / 1024
}

func announcements(n int) []*wire.Announcement {
	var out []*wire.Announcement
	for i := range n {
		out = append(out, &wire.Announcement{
			Id:          fmt.Sprintf("executor-%05d/17", i),
			Address:     fmt.Sprintf("10.20.%d.%d:8080", i/250, i%250),
			Domain:      fmt.Sprintf("domain-%02d", i%designDomains),
			Classes:     []string{"bids"},
			Slots:       8,
			Connections: 64,
			AgeMs:       400,
			Sequence:    uint64(100_000 + i),
			Instance:    fmt.Sprintf("worker-%05d", i),
		})
	}
	return out
}

func gossipBytes(upstreams int) float64 {
	g := &wire.Gossip{Entry: "entry-1", Domain: "domain-01", Announcements: announcements(upstreams)}
	for _, a := range g.Announcements {
		g.Loads = append(g.Loads, &wire.Load{Id: a.Id, InFlight: 3, Connections: 7})
	}
	return float64(proto.Size(g)) / 1024
}

func registryMemory(upstreams int) float64 {
	return heapMiB(func() any {
		r := upstream.New(upstream.Options{Name: "e", Domain: "domain-01", Entries: 9})
		r.Merge(time.Now(), announcements(upstreams))
		return r
	})
}
