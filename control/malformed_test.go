package control_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/inner"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcconn"
)

// malformedCalls send what no process of this project sends. Their answers do not matter.
var malformedCalls = map[string]func(context.Context, *drpcconn.Conn, uint64){
	"empty command": func(ctx context.Context, c *drpcconn.Conn, _ uint64) {
		wire.NewDRPCControlClient(c).Propose(ctx, &wire.ProposeRequest{})
	},
	"empty change": func(ctx context.Context, c *drpcconn.Conn, _ uint64) {
		wire.NewDRPCControlClient(c).Propose(ctx, &wire.ProposeRequest{Command: &wire.Command{Change: &wire.Change{}}})
	},
	"empty job": func(ctx context.Context, c *drpcconn.Conn, _ uint64) {
		wire.NewDRPCControlClient(c).Propose(ctx, &wire.ProposeRequest{Command: &wire.Command{Submit: &wire.SubmitJob{}}})
	},
	"unknown read": func(ctx context.Context, c *drpcconn.Conn, _ uint64) {
		wire.NewDRPCControlClient(c).Read(ctx, &wire.ReadRequest{Kind: 99})
	},
	"empty reports": func(ctx context.Context, c *drpcconn.Conn, _ uint64) {
		tasks := []*wire.TaskReport{{}, {Task: &wire.TaskRef{Index: -1 << 31}}}
		wire.NewDRPCControlClient(c).Report(ctx, &wire.ReportBatch{Reports: []*wire.WorkerReport{{}, {Worker: &wire.WorkerRecord{}, Tasks: tasks}}, Samples: []*wire.ServiceSample{{}}})
	},
	"submission without a workflow": func(ctx context.Context, c *drpcconn.Conn, _ uint64) {
		stream, err := wire.NewDRPCControlClient(c).Workflows(ctx)
		if err != nil {
			return
		}
		for kind := range wire.WorkflowRequestKind_name {
			stream.Send(&wire.WorkflowRequest{Number: 1, Kind: wire.WorkflowRequestKind(kind), Host: "h", Path: "/q/1"})
			stream.Recv()
		}
	},
	"entries with a gap": func(ctx context.Context, c *drpcconn.Conn, to uint64) {
		stream, err := wire.NewDRPCPeerClient(c).Send(ctx)
		if err != nil {
			return
		}
		from := to%3 + 1
		stream.Send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND, From: from, To: to, Address: "c9:1", Term: 1 << 40, Entries: []*wire.Entry{{Index: 1 << 60, Term: 1}, {Index: 3, Term: 9}}})
		stream.Send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND, From: from, To: to, Address: "c9:1"})
	},
}

// putQueues sets the queues at whichever process leads.
func (g *group) putQueues(q *wire.QueueSet) {
	for _, c := range g.controls {
		if c.PutQueues(g.t.Context(), q) == nil {
			return
		}
	}
	g.t.Fatal("no process leads")
}

// TestMalformedMessageEndsNoProcess checks that calls that no process of this project makes, and bytes that are no calls, leave all processes of a group at work.
func TestMalformedMessageEndsNoProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.close()
		dial := g.fabric.Dialer("stranger")
		pool := inner.New(inner.Options{Dial: dial})
		defer pool.Close()
		random := rand.New(rand.NewPCG(1, 1))
		time.Sleep(3 * time.Second)
		g.putQueues(&wire.QueueSet{Version: 1, Queues: []*wire.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 1}}})
		for name, call := range malformedCalls {
			for _, r := range g.replicas {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				conn, err := pool.Dial(ctx, r.Inner)
				assert.NilError(t, err, name)
				call(ctx, conn, r.ID)
				cancel()
				conn.Close()
				raw, err := dial(t.Context(), r.Inner)
				assert.NilError(t, err)
				b := make([]byte, random.IntN(500))
				for i := range b {
					b[i] = byte(random.Uint32())
				}
				raw.Write(b)
				raw.Close()
			}
			time.Sleep(2 * time.Second)
			for _, r := range g.replicas {
				g.stop(r.ID)
				g.start(r.ID) // fails if the disk holds what contradicts itself
				time.Sleep(2 * time.Second)
			}
			for id, c := range g.controls {
				assert.NilError(t, c.Live(), "after %s to all, %d", name, id)
				assert.NilError(t, c.Ready(), "after %s to all, %d", name, id)
			}
		}
	})
}
