package dispatch

import (
	"daisyswitch/resource"
	"daisyswitch/share"
	"daisyswitch/workflow"
)

// maxTasksAtOnce is how many tasks of a step are placed before another workspace may go first, of a workspace that has its share. Each further look at a step costs a look at all workers, and one task of a step does not upset the shares of a pool.
const maxTasksAtOnce = 8

// workspaceInPool is the part of a workspace that a pool runs.
type workspaceInPool struct{ workspace, pool string }

func workspaceInPoolOf(step *workflow.Step) workspaceInPool {
	return workspaceInPool{step.Job.Spec.GetWorkspace(), step.Job.Queue.GetPool()}
}

// placeTurns places tasks in the order of turns, as far as one record can hold their starts. Among turns of equal lateness and rank, workspaces that use more than their share go after the others.
func (r *round) placeTurns(turns []turn) {
	if len(r.t.Queues.GetWorkspaces()) == 0 {
		for _, t := range turns {
			r.placeStep(t.step, t.maxTasks)
			if len(r.starts) >= maxStarts {
				return
			}
		}
		return
	}
	for len(turns) > 0 && len(r.starts) < maxStarts {
		equal := 1
		for equal < len(turns) && turns[equal].expectedLateness == turns[0].expectedLateness && turns[equal].rank == turns[0].rank {
			equal++
		}
		r.placeByShare(turns[:equal])
		turns = turns[equal:]
	}
}

// placeByShare places tasks of turns of equal lateness and rank: first those of workspaces within their shares, step by step in the given order, then those of the workspace that exceeds its share least. The order is kept up to date as tasks are placed.
func (r *round) placeByShare(turns []turn) {
	groups, order := map[workspaceInPool]*share.Group{}, &share.Order{}
	for i, t := range turns {
		key := workspaceInPoolOf(t.step)
		if groups[key] == nil {
			groups[key] = &share.Group{Load: r.loadOf(key), Priority: r.t.Priority(key.workspace)}
		}
		order.Add(groups[key], i)
	}
	for len(r.starts) < maxStarts {
		i, g, ok := order.Next()
		if !ok {
			return
		}
		t := &turns[i]
		key, most, before := workspaceInPoolOf(t.step), min(t.maxTasks, maxTasksAtOnce), len(r.starts)
		if g.WithinShare() {
			one := share.Load(resource.FromWire(t.step.Spec.GetSize()), r.capacity[key.pool], r.t.Share(key.workspace))
			most = min(t.maxTasks, g.TasksWithinShare(one))
		}
		t.maxTasks -= most
		mayGoOn := r.placeStep(t.step, most)
		if len(r.starts) > before {
			g.Load = r.loadOf(key)
		}
		order.Placed(g, !mayGoOn || t.maxTasks == 0)
	}
}

// loadOf returns the use of a workspace in a pool relative to its share, with what this round has placed.
func (r *round) loadOf(key workspaceInPool) float64 {
	return share.Load(r.useInPool(key).Size, r.capacity[key.pool], r.t.Share(key.workspace))
}

// useInPool returns what a workspace uses in a pool, including what this round has placed.
func (r *round) useInPool(key workspaceInPool) share.Use {
	if use, known := r.inPool[key]; known {
		return use
	}
	return r.t.InPool(key.workspace, key.pool)
}

// countPlaced counts tasks of a step that were placed, or whose placement was undone, for the quota and the share of its workspace.
func (r *round) countPlaced(step *workflow.Step, tasks int64) {
	r.countUse(step, tasks)
	if len(r.t.Queues.GetWorkspaces()) == 0 {
		return
	}
	key := workspaceInPoolOf(step)
	if r.inPool == nil {
		r.inPool = map[workspaceInPool]share.Use{}
	}
	r.inPool[key] = r.useInPool(key).Plus(resource.FromWire(step.Spec.GetSize()), step.Spec.GetLasting(), tasks)
}
