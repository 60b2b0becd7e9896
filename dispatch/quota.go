package dispatch

import (
	"math"

	"daisyswitch/resource"
	"daisyswitch/share"
	"daisyswitch/workflow"
)

// useOf returns what the tasks of a workspace use, including those placed in this round.
func (r *round) useOf(workspace string) share.Use {
	if use, known := r.inUse[workspace]; known {
		return use
	}
	return r.t.InUse(workspace)
}

// countUse adds a number of tasks of a step to the use of its workspace in this round.
func (r *round) countUse(step *workflow.Step, tasks int64) {
	workspace := step.Job.Spec.GetWorkspace()
	if workspace == "" {
		return
	}
	if r.inUse == nil {
		r.inUse = map[string]share.Use{}
	}
	r.inUse[workspace] = r.useOf(workspace).Plus(resource.FromWire(step.Spec.GetSize()), step.Spec.GetLasting(), tasks)
}

// quotaRoom returns how many further tasks of a step may start within the quota of its workspace.
func (r *round) quotaRoom(step *workflow.Step) int64 {
	workspace := step.Job.Spec.GetWorkspace()
	if workspace == "" {
		return math.MaxInt64
	}
	return share.Room(r.t.Quota(workspace), r.useOf(workspace), resource.FromWire(step.Spec.GetSize()))
}

// isAtQuota reports whether the quota of a step's workspace keeps its next task waiting, or all tasks of a gang. Such a step does not lack room: no task is stopped for it, and its size is no shortage.
func (r *round) isAtQuota(step *workflow.Step) bool {
	tasks := int64(1)
	if step.Spec.GetGang() {
		tasks = int64(len(step.Tasks))
	}
	return r.quotaRoom(step) < tasks
}

// keepQuota keeps the quota that ending tasks leave for the waiting tasks of a lasting step, as far as they fit beside the other lasting tasks of the workspace. Otherwise short tasks of the same workspace, which need less at a time, would always take it first.
func (r *round) keepQuota(step *workflow.Step, most int) {
	if !step.Spec.GetLasting() || step.Spec.GetGang() {
		return
	}
	workspace, size := step.Job.Spec.GetWorkspace(), resource.FromWire(step.Spec.GetSize())
	for _, task := range step.Tasks {
		if !task.Startable() || r.done[task] || r.heldBack(task) {
			continue
		}
		use := r.useOf(workspace)
		if most--; most < 0 || share.Room(r.t.Quota(workspace), share.Use{Size: use.Lasting, Tasks: use.Tasks}, size) == 0 {
			return
		}
		r.done[task] = true
		r.countUse(step, 1)
	}
}
