package event

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"
)

// sinkLines is how many lines wait for a slow output; more are dropped and counted. At 200 bytes a line they take 400 KB.
const sinkLines = 2048

// sinkLinger is how long a line waits for others to be written with; a leader writes over a thousand lines a second, and each write is a call to the kernel.
const sinkLinger = 20 * time.Millisecond

// sinkBytes bounds one write to what the kernel passes to a pipe whole, so that lines of processes that share an output are not cut.
const sinkBytes = 4096

// Sink hands lines to an output that may be slow or stand still, without ever waiting for it.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	told    uint64 // of dropped, in the output; run alone uses it
	done    conc.WaitGroup
}

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, sinkLines)}
	s.done.Go(s.run)
	return s
}

func (s *Sink) run() {
	batch := make([]byte, 0, sinkBytes)
	for line := range s.lines {
		time.Sleep(sinkLinger)
		batch = s.gather(s.add(s.tell(batch), line))
		s.write(batch)
		batch = batch[:0]
	}
	if batch = s.tell(batch); len(batch) > 0 {
		s.write(batch)
	}
}

// tell adds a line on the lines that were lost since the last such line.
func (s *Sink) tell(batch []byte) []byte {
	dropped := s.dropped.Load()
	if dropped == s.told {
		return batch
	}
	batch = fmt.Appendf(batch, "%q dropped=%d\n", LinesDropped.title(), dropped-s.told)
	s.told = dropped
	return batch
}

// gather adds the lines that wait.
func (s *Sink) gather(batch []byte) []byte {
	for {
		select {
		case line, open := <-s.lines:
			if !open {
				return batch
			}
			batch = s.add(batch, line)
		default:
			return batch
		}
	}
}

// add adds a line to a batch, which is written first if both are too long for one write.
func (s *Sink) add(batch, line []byte) []byte {
	if len(batch) > 0 && len(batch)+len(line) > sinkBytes {
		s.write(batch)
		batch = batch[:0]
	}
	return append(batch, line...)
}

// write counts what the output refuses, since there is nowhere else to tell it.
func (s *Sink) write(lines []byte) {
	if _, err := s.out.Write(lines); err != nil {
		s.dropped.Add(uint64(bytes.Count(lines, []byte{'\n'})))
	}
}

// Write takes one line; it never fails and never waits.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were lost.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits; nothing may be written after it.
func (s *Sink) Close() {
	close(s.lines)
	s.done.Wait()
}

// Use has all events written to the sink and to nothing else.
func (s *Sink) Use() error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return fmt.Errorf("log: %w", err)
		}
	}
	klog.SetOutput(s)
	return nil
}
