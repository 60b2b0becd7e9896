package workflow

import "daisyswitch/wire"

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
