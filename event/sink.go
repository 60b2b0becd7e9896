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

// queueLines is the number of lines that can wait for a slow output. Further lines are dropped and counted. At 200 bytes a line the queue takes 400 KB.
const queueLines = 2048

// batchDelay is how long a line waits to be written together with others. A leader writes over a thousand lines a second, and each write is a system call.
const batchDelay = 20 * time.Millisecond

// maxWriteBytes is the size up to which the kernel writes to a pipe atomically, so that lines of processes that share an output are not interleaved.
const maxWriteBytes = 4096

// Sink passes lines to an output that may be slow or stalled, without ever blocking the writer.
type Sink struct {
	out             io.Writer
	lines           chan []byte
	dropped         atomic.Uint64
	reportedDropped uint64 // the part of dropped that has been reported in the output; used only by run
	running         conc.WaitGroup
}

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines)}
	s.running.Go(s.run)
	return s
}

func (s *Sink) run() {
	batch := make([]byte, 0, maxWriteBytes)
	for line := range s.lines {
		time.Sleep(batchDelay)
		batch = s.appendQueued(s.appendLine(s.appendDropped(batch), line))
		s.write(batch)
		batch = batch[:0]
	}
	if batch = s.appendDropped(batch); len(batch) > 0 {
		s.write(batch)
	}
}

// appendDropped adds a line that reports how many lines were dropped since the last such line.
func (s *Sink) appendDropped(batch []byte) []byte {
	dropped := s.dropped.Load()
	if dropped == s.reportedDropped {
		return batch
	}
	batch = fmt.Appendf(batch, "%q dropped=%d\n", LinesDropped.title(), dropped-s.reportedDropped)
	s.reportedDropped = dropped
	return batch
}

// appendQueued adds the lines in the queue.
func (s *Sink) appendQueued(batch []byte) []byte {
	for {
		select {
		case line, open := <-s.lines:
			if !open {
				return batch
			}
			batch = s.appendLine(batch, line)
		default:
			return batch
		}
	}
}

// appendLine adds a line to a batch. The batch is written first if both are too long for one write.
func (s *Sink) appendLine(batch, line []byte) []byte {
	if len(batch) > 0 && len(batch)+len(line) > maxWriteBytes {
		s.write(batch)
		batch = batch[:0]
	}
	return append(batch, line...)
}

// write counts lines that the output refuses as dropped, since there is no other place to report them.
func (s *Sink) write(lines []byte) {
	if _, err := s.out.Write(lines); err != nil {
		s.dropped.Add(uint64(bytes.Count(lines, []byte{'\n'})))
	}
}

// Write queues one line. It never fails and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines lost.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the queued lines. Write must not be called after it.
func (s *Sink) Close() {
	close(s.lines)
	s.running.Wait()
}

// Use redirects all events to the sink alone.
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
