package workflow

import (
	"slices"

	"daisyswitch/resource"
	"daisyswitch/share"
	"daisyswitch/wire"
)

// indexWorkspaces rebuilds the lookup of workspaces by name and by key.
func (t *Tables) indexWorkspaces() {
	t.workspaces, t.workspacesByKey = map[string]*wire.Workspace{}, map[string]*wire.Workspace{}
	t.meanWeight, t.totalWeight = 0, 0
	for _, w := range t.Queues.GetWorkspaces() {
		t.totalWeight += w.GetWeight()
		t.workspaces[w.GetName()] = w
		for _, key := range w.GetKeys() {
			t.workspacesByKey[key] = w
		}
	}
	if len(t.workspaces) > 0 {
		t.meanWeight = t.totalWeight / float64(len(t.workspaces))
	}
	if slices.ContainsFunc(t.Queues.GetQueues(), (*wire.Queue).GetPublic) {
		t.totalWeight += t.meanWeight
	}
}

// Caller returns the name of the workspace that a caller of a queue identifies itself with, and whether the caller may use the queue. A public queue may be used without a workspace.
func (t *Tables) Caller(q *wire.Queue, key string) (workspace string, allowed bool) {
	if !t.Queues.GetKeyed() {
		return "", true
	}
	w := t.workspacesByKey[key]
	return w.GetName(), w != nil || q.GetPublic()
}

// MayReach reports whether a caller of a workspace may read and cancel a job through a queue. Through a public queue every caller may: it may have named its key with the submission and need not name it again.
func (t *Tables) MayReach(workspace string, q *wire.Queue, j *Job) bool {
	owner := j.Spec.GetWorkspace()
	return owner == "" || owner == workspace || q.GetPublic() || !t.Queues.GetKeyed()
}

// Quota returns the most that the tasks of a workspace may use on all workers together, 0 of a resource for no limit. A workspace that is not in the configuration has no quota.
func (t *Tables) Quota(workspace string) resource.Size {
	return resource.FromWire(t.workspaces[workspace].GetQuota())
}

// InUse returns what the tasks of a workspace use that are committed to a worker, and so may be running. Filling tasks count with their full size.
func (t *Tables) InUse(workspace string) share.Use {
	return t.inUse[workspace]
}

// InPool returns the part of a workspace's use that is on the workers of a pool. The empty name stands for the tasks of no workspace.
func (t *Tables) InPool(workspace, pool string) share.Use {
	return t.inPool[workspaceInPool{workspace, pool}]
}

// Weight returns the weight of a workspace. Callers of no workspace, and the tasks of a workspace that the configuration no longer has, count as a workspace of mean weight.
func (t *Tables) Weight(workspace string) float64 {
	if w := t.workspaces[workspace]; w != nil {
		return w.GetWeight()
	}
	return t.meanWeight
}

// Share returns the part of each pool that a workspace is entitled to: its weight over that of all workspaces. If there are public queues, the tasks of no workspace count as one more workspace of mean weight.
func (t *Tables) Share(workspace string) float64 {
	if t.totalWeight <= 0 {
		return 0
	}
	return t.Weight(workspace) / t.totalWeight
}

// Priority returns the priority of a workspace, 0 for the highest.
func (t *Tables) Priority(workspace string) int32 {
	return t.workspaces[workspace].GetPriority()
}

// withinQuota reports whether a task may start within the quota of its workspace.
func (t *Tables) withinQuota(task *Task) bool {
	workspace := task.Step.Job.Spec.GetWorkspace()
	if t.workspaces[workspace] == nil {
		return true
	}
	return share.Room(t.Quota(workspace), t.inUse[workspace], resource.FromWire(task.Step.Spec.GetSize())) > 0
}

// addTask commits a task to a worker and counts its use for its workspace. Every change of what a worker's tasks use passes through here or removeTask.
func (t *Tables) addTask(w *Worker, task *Task) {
	w.addTask(task)
	t.countUse(task, w.GetPool(), 1)
}

// removeTask takes a task from its worker and from the use of its workspace.
func (t *Tables) removeTask(task *Task) {
	task.Worker.removeTask(task)
	t.countUse(task, task.Worker.GetPool(), -1)
}

// changePool counts the use of a worker's tasks for another pool.
func (t *Tables) changePool(w *Worker, pool string) {
	if w.GetPool() == pool {
		return
	}
	for task := range w.Tasks {
		t.countUse(task, w.GetPool(), -1)
		t.countUse(task, pool, 1)
	}
}

// workspaceInPool is the part of a workspace that a pool runs.
type workspaceInPool struct{ workspace, pool string }

// countUse adds a number of tasks like the given one to the use of its workspace.
func (t *Tables) countUse(task *Task, pool string, tasks int64) {
	workspace, spec := task.Step.Job.Spec.GetWorkspace(), task.Step.Spec
	addUse(t.inUse, workspace, spec, tasks)
	addUse(t.inPool, workspaceInPool{workspace, pool}, spec, tasks)
}

// addUse adds a number of tasks of a step to an entry. Only entries with tasks are kept, so that those of dropped workspaces do not pile up.
func addUse[K comparable](uses map[K]share.Use, key K, spec *wire.Step, tasks int64) {
	use := uses[key].Plus(resource.FromWire(spec.GetSize()), spec.GetLasting(), tasks)
	if use.Tasks == 0 {
		delete(uses, key)
		return
	}
	uses[key] = use
}
