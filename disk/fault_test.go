package disk_test

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"syscall"
	"testing"

	"daisyswitch/disk"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

var errFault = errors.New("injected")

// testSteps returns the changes of a disk during which the test makes every write, sync, rename and removal fail in turn.
func testSteps() []func(*disk.Disk) error {
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
		return d.InstallSnapshot(&wire.HardState{Term: 4}, &wire.Snapshot{Index: 90, Term: 4})
	})
	write(4, 91, 92)
	return steps
}

// fault makes the nth operation of a disk fail, or simulates a crash at it.
type fault struct {
	countdown    int
	crash        bool // all later operations fail too; otherwise only the nth one
	powerLoss    bool // unsynced data is lost
	partialWrite bool // the failing write writes the first half of its data
	crashed      bool
	unsynced     map[string]int64 // synced size of each file that was written after its last sync
}

func (f *fault) countDown() error {
	f.countdown--
	if f.crashed || f.countdown == 0 {
		f.crashed = f.crash
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
			err := f.countDown()
			if err == nil {
				return system.Write(file, b, offset)
			}
			if f.partialWrite {
				system.Write(file, b[:len(b)/2], offset)
			}
			return err
		},
		Sync: func(file *os.File) error {
			if err := f.countDown(); err != nil {
				return err
			}
			delete(f.unsynced, file.Name())
			return system.Sync(file)
		},
		Rename: func(from, to string) error {
			if err := f.countDown(); err != nil {
				return err
			}
			if size, written := f.unsynced[from]; written {
				f.unsynced[to] = size
			}
			return system.Rename(from, to)
		},
		Remove: func(path string) error {
			if err := f.countDown(); err != nil {
				return err
			}
			return system.Remove(path)
		},
	}
}

// runSteps runs the steps in a folder and returns how many succeeded before the first failure.
func runSteps(t *testing.T, dir string, operations disk.Operations) int {
	d, _, err := disk.Open(disk.Options{Dir: dir, SegmentBytes: segmentBytes, Operations: operations})
	if err != nil {
		return 0
	}
	defer d.Close()
	for i, step := range testSteps() {
		if step(d) != nil {
			if i+1 < len(testSteps()) && d.Err() != nil {
				assert.ErrorIs(t, d.Append(nil, nil), errFault, "append after a failure")
			}
			return i
		}
	}
	return len(testSteps())
}

// expectedContents returns the content of a folder at the start and after each step.
func expectedContents(t *testing.T) []string {
	dir := t.TempDir()
	d, loaded := open(t, dir)
	found := []string{describe(loaded)}
	for _, step := range testSteps() {
		assert.NilError(t, step(d))
		assert.NilError(t, d.Close())
		d, loaded = open(t, dir)
		found = append(found, describe(loaded))
	}
	assert.NilError(t, d.Close())
	return found
}

func TestNothingSyncedIsLostAtAnyFault(t *testing.T) {
	expected := expectedContents(t)
	assert.Equal(t, expected[len(expected)-1], "[90] 91:4 92:4")
	for _, variant := range []fault{{crash: true}, {crash: true, partialWrite: true}, {crash: true, powerLoss: true}, {}, {partialWrite: true}} {
		points := 0
		for point := 1; ; point++ {
			f := variant
			f.countdown, f.unsynced = point, map[string]int64{}
			dir := t.TempDir()
			done := runSteps(t, dir, f.operations())
			if f.countdown > 0 {
				break
			}
			if f.powerLoss {
				f.dropUnsynced(t)
			}
			d, loaded := open(t, dir)
			after := expected[done : min(done+1, len(expected)-1)+1]
			assert.Assert(t, slices.Contains(after, describe(loaded)), "operation %d failed, %d steps done: got %s, want one of %v", point, done, describe(loaded), after)
			next := loaded.Snapshot.GetIndex() + uint64(len(loaded.Entries)) + 1
			assert.NilError(t, d.Append(nil, entries(9, next)))
			assert.NilError(t, d.Close())
			d, again := open(t, dir)
			assert.Equal(t, describe(again), fmt.Sprintf("%s %d:9", describe(loaded), next))
			assert.NilError(t, d.Close())
			points++
		}
		assert.Assert(t, points > 2*len(testSteps()), "only %d operations were made to fail", points)
	}
}

// dropUnsynced truncates the files to their synced size, as after a power failure.
func (f *fault) dropUnsynced(t *testing.T) {
	for path, size := range f.unsynced {
		if _, err := os.Stat(path); err == nil {
			assert.NilError(t, os.Truncate(path, size))
		}
	}
}

// fullDisk returns operations whose writes find no room from the nth to the last one given, after writing half of their data.
func fullDisk(first, last int) disk.Operations {
	operations, writes := disk.System(), 0
	write := operations.Write
	operations.Write = func(file *os.File, b []byte, offset int64) error {
		if writes++; writes < first || writes > last {
			return write(file, b, offset)
		}
		if err := write(file, b[:len(b)/2], offset); err != nil {
			return err
		}
		return &os.PathError{Op: "write", Path: file.Name(), Err: syscall.ENOSPC}
	}
	return operations
}

// TestChangeThatFoundNoRoomCanBeRepeated checks, with the disk full at every write in turn, that the folder stays as it was, and that the disk goes on once it has room.
func TestChangeThatFoundNoRoomCanBeRepeated(t *testing.T) {
	const fullWrites = 3
	expected := expectedContents(t)
	refused := 0
	for first := 2; first < 60; first++ {
		dir := t.TempDir()
		d, _, err := disk.Open(disk.Options{Dir: dir, SegmentBytes: segmentBytes, Operations: fullDisk(first, first+fullWrites-1)})
		assert.NilError(t, err)
		for i, step := range testSteps() {
			for err = step(d); errors.Is(err, disk.ErrFull); err = step(d) {
				refused++
				copied := t.TempDir()
				assert.NilError(t, os.CopyFS(copied, os.DirFS(dir)))
				found, loaded := open(t, copied)
				assert.Assert(t, slices.Contains(expected[i:i+2], describe(loaded)), "write %d, step %d: got %s", first, i, describe(loaded)) // the snapshot of an installation is durable before its log
				assert.NilError(t, found.Close())
			}
			assert.NilError(t, err, "write %d, step %d", first, i)
		}
		assert.NilError(t, d.Close())
		d, loaded := open(t, dir)
		assert.Equal(t, describe(loaded), expected[len(expected)-1], "write %d", first)
		assert.Equal(t, loaded.State.GetTerm(), uint64(4))
		assert.NilError(t, d.Close())
	}
	assert.Assert(t, refused > 30, "the disk was full for %d changes only", refused)
}

// TestFolderIsOpenedOnceItHasRoom checks that a folder whose disk is full as it is opened is not damaged by that.
func TestFolderIsOpenedOnceItHasRoom(t *testing.T) {
	dir, _ := twoGroups(t)
	_, _, err := disk.Open(disk.Options{Dir: dir, Operations: fullDisk(1, 1)})
	assert.ErrorIs(t, err, disk.ErrFull)
	_, _, err = disk.Open(disk.Options{Dir: t.TempDir(), Operations: fullDisk(1, 1)})
	assert.ErrorIs(t, err, disk.ErrFull)
	d, loaded := open(t, dir)
	assert.Equal(t, describe(loaded), "[0] 1:1 2:1")
	assert.NilError(t, d.Close())
}
