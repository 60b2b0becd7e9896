package replica_test

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/disk"
	"daisyswitch/verdict"

	"gotest.tools/v3/assert"
)

// fullDisks makes the writes to chosen data folders find no room.
type fullDisks struct {
	mu   sync.Mutex
	full map[string]bool // by folder
}

func (f *fullDisks) set(dir string, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full[dir] = full
}

// options returns the disk options of a replica with a given folder.
func (f *fullDisks) options(dir string) disk.Options {
	operations := disk.System()
	write := operations.Write
	operations.Write = func(file *os.File, b []byte, offset int64) error {
		f.mu.Lock()
		full := f.full[dir]
		f.mu.Unlock()
		if full {
			return &os.PathError{Op: "write", Path: file.Name(), Err: syscall.ENOSPC}
		}
		return write(file, b, offset)
	}
	return disk.Options{Operations: operations, SegmentBytes: 2000}
}

func newGroupWithDisks(t *testing.T, size int) (*group, *fullDisks) {
	g := &group{t: t, size: size, members: map[string]*member{}, isolated: map[string]bool{}}
	f := &fullDisks{full: map[string]bool{}}
	for id := 1; id <= size; id++ {
		dir := t.TempDir()
		g.disk = f.options(dir)
		g.start(uint64(id), dir)
	}
	return g, f
}

// proposeWithin proposes a record to whichever replica leads until it is applied, as a caller does whose proposals are idempotent, and returns how long that took.
func (g *group) proposeWithin(limit time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		for _, m := range g.members {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := m.Propose(ctx, []byte("record"))
			cancel()
			if err == nil {
				return time.Since(began)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatalf("no record was accepted within %v", limit)
	return 0
}

// TestDisksFullOneAfterAnother checks that records are accepted while any one disk is full, and that its replica takes part again within a second of having room.
func TestDisksFullOneAfterAnother(t *testing.T) {
	for _, size := range []int{3, 5} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				g, disks := newGroupWithDisks(t, size)
				defer g.close()
				random := rand.New(rand.NewPCG(seed, uint64(size)))
				g.proposeWithin(5 * time.Second)
				for range 2 * size {
					m := g.members[address(uint64(1+random.IntN(size)))]
					if random.IntN(2) == 0 {
						m = g.leader(2 * time.Second)
					}
					disks.set(m.dir, true)
					for range 20 + random.IntN(60) {
						took := g.proposeWithin(2 * time.Second)
						assert.Assert(t, took < 2*time.Second, "seed %d: %v", seed, took)
						time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
					}
					assert.Assert(t, !m.IsLeader(), "seed %d: a replica whose disk is full leads", seed)
					disks.set(m.dir, false)
					time.Sleep(time.Second)
					assert.NilError(t, m.Info().Err)
					assert.Equal(t, m.Info().Applied, g.leader(time.Second).Info().Applied, "seed %d", seed)
				}
			})
		}
	}
}

// TestLeaderWithFullDiskConfirmsNothing checks that such a leader answers at once, and that its group has another leader before an election timeout.
func TestLeaderWithFullDiskConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, disks := newGroupWithDisks(t, 3)
		defer g.close()
		old := g.leader(5 * time.Second)
		g.proposeWithin(time.Second)
		disks.set(old.dir, true)
		began := time.Now()
		_, err := old.Propose(t.Context(), []byte("unknown"))
		assert.Equal(t, verdict.Of(err), verdict.Unknown, "the record may be on the other disks")
		assert.Assert(t, time.Since(began) < 100*time.Millisecond)
		_, err = old.Propose(t.Context(), []byte("refused"))
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Assert(t, old.ReadBarrier(t.Context()) != nil)
		assert.Assert(t, old.Info().DiskFull)
		g.leader(300 * time.Millisecond)
		time.Sleep(5 * time.Second)
		disks.set(old.dir, false)
		time.Sleep(time.Second)
		assert.Assert(t, !old.Info().DiskFull)
		assert.Equal(t, old.Info().Leader, g.leader(time.Second).id)
	})
}

// TestFullDisksOfAllReplicas checks that a group goes on by itself after all disks were full at the same time.
func TestFullDisksOfAllReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, disks := newGroupWithDisks(t, 3)
		defer g.close()
		g.proposeWithin(5 * time.Second)
		for _, m := range g.members {
			disks.set(m.dir, true)
		}
		for _, m := range g.members {
			_, err := m.Propose(t.Context(), []byte("record"))
			assert.Assert(t, err != nil, "a record was accepted that no disk holds")
		}
		time.Sleep(10 * time.Second)
		for _, m := range g.members {
			disks.set(m.dir, false)
		}
		g.proposeWithin(2 * time.Second)
	})
}
