package dispatch

import (
	"fmt"

	"daisyswitch/event"
	"daisyswitch/resource"
	"daisyswitch/workflow"
)

// maxShownWorkspaces bounds the workspaces that have metrics and log lines of their own; a deployment has a few dozen.
const maxShownWorkspaces = 200

// usage is what a workspace uses and waits for.
type usage struct {
	inUse, quota   resource.Size
	waitingAtQuota int
}

// noteAtQuota notes the tasks of a step that wait for the quota of its workspace.
func (r *round) noteAtQuota(step *workflow.Step) {
	waiting := 0
	for _, task := range step.Tasks {
		if task.Startable() && !r.done[task] {
			waiting++
		}
	}
	if r.atQuota == nil {
		r.atQuota = map[*workflow.Step]int{}
	}
	r.atQuota[step] = waiting
}

// waitingAtQuota returns the tasks that wait for the quotas of their workspaces.
func (r *round) waitingAtQuota() map[string]int {
	waiting := map[string]int{}
	for step, tasks := range r.atQuota {
		waiting[step.Job.Spec.GetWorkspace()] += tasks
	}
	return waiting
}

// usages returns what the workspaces of the configuration use.
func (s *session) usages(t *workflow.Tables) map[string]usage {
	usages := map[string]usage{}
	for _, w := range t.Queues.GetWorkspaces() {
		if len(usages) == maxShownWorkspaces {
			break
		}
		name := w.GetName()
		usages[name] = usage{inUse: t.InUse(name).Size, quota: t.Quota(name), waitingAtQuota: s.waitingAtQuota[name]}
	}
	return usages
}

// showUsages updates the metrics of the workspaces, and logs those whose tasks wait for a quota. Metrics of workspaces that are gone are removed.
func (s *session) showUsages(usages map[string]usage) {
	current := map[string]bool{}
	show := func(metric, workspace, resourceName string, value int64) {
		name := fmt.Sprintf("daisyswitch_workspace_%s{workspace=%q,resource=%q}", metric, workspace, resourceName)
		current[name] = true
		s.set.GetOrCreateGauge(name, nil).Set(float64(value))
	}
	for workspace, u := range usages {
		for metric, size := range map[string]resource.Size{"in_use": u.inUse, "quota": u.quota} {
			show(metric, workspace, "milli_cpu", size.MilliCPU)
			show(metric, workspace, "memory_mib", size.MemoryMiB)
			show(metric, workspace, "accelerators", size.Accelerators)
		}
		name := fmt.Sprintf("daisyswitch_workspace_tasks_at_quota{workspace=%q}", workspace)
		current[name] = true
		s.set.GetOrCreateGauge(name, nil).Set(float64(u.waitingAtQuota))
		if u.waitingAtQuota > 0 {
			event.WorkspaceAtQuota.Info("workspace", workspace, "waiting_tasks", u.waitingAtQuota, "in_use", u.inUse, "quota", u.quota)
		}
	}
	for name := range s.shownMetrics {
		if !current[name] {
			s.set.UnregisterMetric(name)
		}
	}
	s.shownMetrics = current
}
