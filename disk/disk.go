package disk

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
)

// defaultSegmentBytes is the size after which a new segment begins.
const defaultSegmentBytes = 16 << 20

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockName   = "lock"
)

// ErrInUse says that another process holds the data folder.
var ErrInUse = errors.New("data folder is in use by another process")

// Operations are the writes of a disk, so that each can be made to fail.
type Operations struct {
	Write  func(f *os.File, b []byte, offset int64) error
	Sync   func(f *os.File) error // also of a folder
	Rename func(from, to string) error
	Remove func(path string) error
}

// System returns the operating system's operations.
func System() Operations {
	return Operations{
		Write: func(f *os.File, b []byte, offset int64) error {
			_, err := f.WriteAt(b, offset)
			return err
		},
		Sync:   (*os.File).Sync,
		Rename: os.Rename,
		Remove: os.Remove,
	}
}

// Options says where a disk lies and how it is written.
type Options struct {
	Dir          string
	SegmentBytes int64      // 0 for the default
	Operations   Operations // the zero value for the operating system's
}

// Loaded is what a data folder held.
type Loaded struct {
	State    *wire.HardState
	Snapshot *wire.Snapshot // nil if there is none
	Entries  []*wire.Entry  // after the snapshot
	Torn     *Torn          // nil if the log ended whole
}

// Torn is the unsynced end of a segment that was cut off on opening.
type Torn struct {
	File   string
	Offset int64
	Bytes  int64
}

// Disk is one replica's data folder; one goroutine appends, and another may write snapshots meanwhile.
type Disk struct {
	Operations
	dir          string
	segmentBytes int64
	lock         *os.File
	segments     []*segment // oldest first; the last one is appended to
	file         *os.File   // of the last segment
	state        *wire.HardState
	snapshot     uint64 // index of the newest snapshot
	err          error  // first failure, which ends the disk for good
}

// segment is one file of the log.
type segment struct {
	number uint64
	path   string
	size   int64
	last   uint64 // highest index of an entry in it
	sealed bool   // says that another one follows
}

// Open reads the data folder and makes it if it is empty; a new folder gets an identity and has to recover.
func Open(o Options) (*Disk, *Loaded, error) {
	d := &Disk{Operations: o.Operations, dir: o.Dir, segmentBytes: o.SegmentBytes}
	if d.Write == nil {
		d.Operations = System()
	}
	if d.segmentBytes == 0 {
		d.segmentBytes = defaultSegmentBytes
	}
	if err := d.acquire(); err != nil {
		return nil, nil, err
	}
	loaded, err := d.load()
	if err != nil {
		return nil, nil, errors.Join(err, d.Close())
	}
	return d, loaded, nil
}

// acquire makes the folder and keeps other processes out of it.
func (d *Disk) acquire() error {
	if err := os.MkdirAll(d.dir, folderMode); err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(d.dir, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return fmt.Errorf("%s: %w", d.dir, ErrInUse)
	}
	d.lock = lock
	return nil
}

// Append makes a hard state and entries durable with one sync; either may be absent.
// After an error nothing is durable any more that was not before, and every later call fails.
func (d *Disk) Append(state *wire.HardState, entries []*wire.Entry) error {
	return d.do(func() error {
		if state != nil {
			d.state = state
		}
		if err := d.append(&wire.LogGroup{State: state, Entries: entries}); err != nil {
			return err
		}
		if d.current().size < d.segmentBytes {
			return nil
		}
		return d.roll(&wire.LogGroup{State: d.state})
	})
}

// do runs one change of the folder unless an earlier one failed; a failed sync must not be retried as if it had not happened.
func (d *Disk) do(change func() error) error {
	if d.err != nil {
		return d.err
	}
	if err := change(); err != nil {
		d.err = fmt.Errorf("disk failed: %w", err)
	}
	return d.err
}

func (d *Disk) current() *segment {
	return d.segments[len(d.segments)-1]
}

// append writes one frame at the end of the current segment and syncs it.
func (d *Disk) append(group *wire.LogGroup) error {
	return d.appendTo(d.file, d.current(), group)
}

func (d *Disk) appendTo(file *os.File, s *segment, group *wire.LogGroup) error {
	payload, err := proto.Marshal(group)
	if err != nil {
		return fmt.Errorf("log group: %w", err)
	}
	b := frame(payload)
	if err := d.Write(file, b, s.size); err != nil {
		return fmt.Errorf("write %s: %w", s.path, err)
	}
	if err := d.Sync(file); err != nil {
		return fmt.Errorf("sync %s: %w", s.path, err)
	}
	s.size += int64(len(b))
	for _, e := range group.GetEntries() {
		s.last = max(s.last, e.GetIndex())
	}
	return nil
}

// roll begins a new segment whose first group is the given one, and then seals the one before, so that the loss of the new one would show.
func (d *Disk) roll(first *wire.LogGroup) error {
	before := d.file
	if before != nil {
		defer before.Close()
	}
	number := uint64(1)
	if len(d.segments) > 0 {
		number = d.current().number + 1
		first.PreviousBytes = d.current().size
	}
	path := filepath.Join(d.dir, segmentName(number))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("new segment: %w", err)
	}
	d.file = file
	d.segments = append(d.segments, &segment{number: number, path: path})
	if err := d.append(first); err != nil {
		return err
	}
	if err := d.syncDir(); err != nil || before == nil {
		return err
	}
	return d.seal(before, d.segments[len(d.segments)-2])
}

// seal says at the end of a segment that another one follows.
func (d *Disk) seal(file *os.File, s *segment) error {
	s.sealed = true
	return d.appendTo(file, s, &wire.LogGroup{Sealed: true})
}

func (d *Disk) syncDir() error {
	dir, err := os.Open(d.dir)
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	defer dir.Close()
	if err := d.Sync(dir); err != nil {
		return fmt.Errorf("sync %s: %w", d.dir, err)
	}
	return nil
}

// Err returns the failure that ended the disk, nil while it works.
func (d *Disk) Err() error {
	return d.err
}

// Close lets go of the folder; what was appended is durable already.
func (d *Disk) Close() error {
	if d.file != nil {
		d.file.Close()
	}
	return d.lock.Close()
}

// identity draws the number that tells this data folder from any other.
func identity() uint64 {
	var b [8]byte
	for {
		rand.Read(b[:])
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}
