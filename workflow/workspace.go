package workflow

import (
	"daisyswitch/resource"
	"daisyswitch/share"
	"daisyswitch/wire"
)

// indexWorkspaces rebuilds the lookup of workspaces by name and by key.
func (t *Tables) indexWorkspaces() {
	t.workspaces, t.workspacesByKey = map[string]*wire.Workspace{}, map[string]*wire.Workspace{}
	for _, w := range t.Queues.GetWorkspaces() {
		t.workspaces[w.GetName()] = w
		for _, key := range w.GetKeys() {
			t.workspacesByKey[key] = w
		}
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

// MayReach reports whether a caller of a workspace may read and cancel a job, which its own workspace or none has submitted.
func (t *Tables) MayReach(workspace string, j *Job) bool {
	owner := j.Spec.GetWorkspace()
	return owner == "" || owner == workspace || !t.Queues.GetKeyed()
}

// queueOf returns the queue by which callers reach a job in the present configuration, or the last one if there is none.
func (t *Tables) queueOf(j *Job) *wire.Queue {
	if q := t.queuesByName[j.Spec.GetQueue()]; q != nil {
		return q
	}
	if q, _ := t.QueueFor(j.Queue.GetHost(), j.Queue.GetPathPrefix()); q != nil && j.In(q) {
		return q
	}
	return j.Queue
}

// Quota returns the most that the tasks of a workspace may use on all workers together, 0 of a resource for no limit. A workspace that is not in the configuration has no quota.
func (t *Tables) Quota(workspace string) resource.Size {
	return resource.FromWire(t.workspaces[workspace].GetQuota())
}

// InUse returns what the tasks of a workspace use that are committed to a worker, and so may be running. Filling tasks count with their full size.
func (t *Tables) InUse(workspace string) share.Use {
	return t.inUse[workspace]
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
	t.countUse(task, 1)
}

// removeTask takes a task from its worker and from the use of its workspace.
func (t *Tables) removeTask(task *Task) {
	task.Worker.removeTask(task)
	t.countUse(task, -1)
}

// countUse adds a number of tasks to the use of a task's workspace. Only workspaces with tasks have an entry, so that those of dropped workspaces do not pile up.
func (t *Tables) countUse(task *Task, tasks int64) {
	workspace := task.Step.Job.Spec.GetWorkspace()
	if workspace == "" {
		return
	}
	use := t.inUse[workspace].Plus(resource.FromWire(task.Step.Spec.GetSize()), task.Step.Spec.GetLasting(), tasks)
	if use.Tasks == 0 {
		delete(t.inUse, workspace)
		return
	}
	t.inUse[workspace] = use
}
