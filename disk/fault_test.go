package disk_test

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"

	"daisyswitch/disk"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

var errFault = errors.New("injected")

// history is the work whose every write, sync, rename and removal is made to fail in turn.
func history() []func(*disk.Disk) error {
	var steps []func(*disk.Disk) error
	write := func(term uint64, indexes ...uint64) {
		steps = append(steps, func(d *disk.Disk) error { return d.Append(nil, entries(term, indexes...)) })
	}
	for index := uint64(1); index <= 30; index += 3 {
		write(1, index, index+1, index+2)
	}
	write(2, 25, 26)
	for index := uint64(27); index <= 50; index += 3 {
		write(2, index, index+1, index+2)
	}
	steps = append(steps,
		func(d *disk.Disk) error { return d.WriteSnapshot(&wire.Snapshot{Index: 40, Term: 2}) },
		func(d *disk.Disk) error { return d.Compact(40, 28) })
	write(3, 48, 49)
	steps = append(steps, func(d *disk.Disk) error {
		return d.Install(&wire.HardState{Term: 4}, &wire.Snapshot{Index: 90, Term: 4})
	})
	write(4, 91, 92)
	return steps
}

// fault stops or fails the disk at its nth operation.
type fault struct {
	countdown int
	kill      bool // nothing works afterwards; otherwise only that one operation fails
	power     bool // what was not synced is gone
	half      bool // a write is done in part
	dead      bool
	unsynced  map[string]int64 // size up to which a file is synced, if it was written since
}

func (f *fault) hit() error {
	f.countdown--
	if f.dead || f.countdown == 0 {
		f.dead = f.kill
		return errFault
	}
	return nil
}

func (f *fault) operations() disk.Operations {
	system := disk.System()
	return disk.Operations{
		Write: func(file *os.File, b []byte, offset int64) error {
			if _, written := f.unsynced[file.Name()]; !written {
				f.unsynced[file.Name()] = offset
			}
			err := f.hit()
			if err == nil {
				return system.Write(file, b, offset)
			}
			if f.half {
				system.Write(file, b[:len(b)/2], offset)
			}
			return err
		},
		Sync: func(file *os.File) error {
			if err := f.hit(); err != nil {
				return err
			}
			delete(f.unsynced, file.Name())
			return system.Sync(file)
		},
		Rename: func(from, to string) error {
			if err := f.hit(); err != nil {
				return err
			}
			if size, written := f.unsynced[from]; written {
				f.unsynced[to] = size
			}
			return system.Rename(from, to)
		},
		Remove: func(path string) error {
			if err := f.hit(); err != nil {
				return err
			}
			return system.Remove(path)
		},
	}
}

// play runs the history in a folder and returns how many steps were done.
func play(t *testing.T, dir string, operations disk.Operations) int {
	d, _, err := disk.Open(disk.Options{Dir: dir, SegmentBytes: segmentBytes, Operations: operations})
	if err != nil {
		return 0
	}
	defer d.Close()
	for i, step := range history() {
		if step(d) != nil {
			if i+1 < len(history()) && d.Err() != nil {
				assert.ErrorIs(t, d.Append(nil, nil), errFault, "a disk that failed went on")
			}
			return i
		}
	}
	return len(history())
}

// outcomes returns what a folder holds after each step that succeeds.
func outcomes(t *testing.T) []string {
	dir := t.TempDir()
	d, loaded := open(t, dir)
	found := []string{describe(loaded)}
	for _, step := range history() {
		assert.NilError(t, step(d))
		assert.NilError(t, d.Close())
		d, loaded = open(t, dir)
		found = append(found, describe(loaded))
	}
	assert.NilError(t, d.Close())
	return found
}

func TestNothingSyncedIsLostAtAnyFault(t *testing.T) {
	expected := outcomes(t)
	assert.Equal(t, expected[len(expected)-1], "[90] 91:4 92:4")
	for _, variant := range []fault{{kill: true}, {kill: true, half: true}, {kill: true, power: true}, {}, {half: true}} {
		points := 0
		for point := 1; ; point++ {
			f := variant
			f.countdown, f.unsynced = point, map[string]int64{}
			dir := t.TempDir()
			done := play(t, dir, f.operations())
			if f.countdown > 0 {
				break
			}
			if f.power {
				f.dropUnsynced(t)
			}
			d, loaded := open(t, dir)
			after := expected[done : min(done+1, len(expected)-1)+1]
			assert.Assert(t, slices.Contains(after, describe(loaded)), "point %d, %d steps done: %s, not %v", point, done, describe(loaded), after)
			next := loaded.Snapshot.GetIndex() + uint64(len(loaded.Entries)) + 1
			assert.NilError(t, d.Append(nil, entries(9, next)))
			assert.NilError(t, d.Close())
			d, again := open(t, dir)
			assert.Equal(t, describe(again), fmt.Sprintf("%s %d:9", describe(loaded), next))
			assert.NilError(t, d.Close())
			points++
		}
		assert.Assert(t, points > 2*len(history()), "only %d points", points)
	}
}

// dropUnsynced does to the files what a power cut may do.
func (f *fault) dropUnsynced(t *testing.T) {
	for path, size := range f.unsynced {
		if _, err := os.Stat(path); err == nil {
			assert.NilError(t, os.Truncate(path, size))
		}
	}
}
