package admit

import (
	"errors"
	"fmt"
	"iter"

	"daisyswitch/configuration"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 20_000

// Job returns why a job is invalid in itself, nil if it is valid.
func Job(spec *wire.Job) error {
	if err := configuration.CheckName(spec.Program); err != nil {
		return fmt.Errorf("program: %w", err)
	}
	if !resource.FromWire(spec.Size).Valid() {
		return errors.New("the size is empty or below zero")
	}
	if spec.Tasks < 1 || spec.Tasks > MaxTasks {
		return fmt.Errorf("a job has 1 to %d tasks, not %d", MaxTasks, spec.Tasks)
	}
	if spec.ExpectedMs < 0 {
		return errors.New("expected_ms is below zero")
	}
	if spec.MinDomains < 0 || spec.MinDomains > spec.Tasks {
		return errors.New("min_domains lies between 0 and the number of tasks")
	}
	return nil
}

// Quota refuses what can never fit in the team's quota: one task of a batch job, or all replicas of a service together.
func Quota(spec *wire.Job, class *wire.Class, team *wire.Team) error {
	size := resource.FromWire(spec.Size)
	quota := resource.FromWire(team.Quota)
	if !size.Fits(quota) {
		return fmt.Errorf("one task alone exceeds the quota of team %s", team.Name)
	}
	if class.Kind != wire.ClassKind_CLASS_KIND_SERVICE {
		return nil
	}
	if !fitsTimes(size, quota, int64(spec.Tasks)) {
		return fmt.Errorf("%d replicas exceed the quota of team %s", spec.Tasks, team.Name)
	}
	return nil
}

// fitsTimes reports whether n times size fits into room. It divides room instead of multiplying size, which could overflow.
func fitsTimes(size, room resource.Size, n int64) bool {
	share := resource.Size{MilliCPU: room.MilliCPU / n, MemoryMiB: room.MemoryMiB / n, Accelerators: room.Accelerators / n}
	return size.Fits(share)
}

// Fits refuses a size that fits on no known worker, or in fewer failure domains than the job requires.
// It accepts any size while no worker is known.
func Fits(spec *wire.Job, offers iter.Seq2[string, resource.Size]) error {
	size := resource.FromWire(spec.Size)
	domains := map[string]bool{}
	known := 0
	for domain, offered := range offers {
		known++
		if size.Fits(offered) {
			domains[domain] = true
		}
	}
	if known == 0 {
		return nil
	}
	if len(domains) == 0 {
		return fmt.Errorf("a task of this size fits on none of the %d known workers", known)
	}
	if len(domains) < int(spec.MinDomains) {
		return fmt.Errorf("a task of this size fits in %d failure domains, fewer than %d", len(domains), spec.MinDomains)
	}
	return nil
}
