package event

import (
	"flag"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"
)

// sinkLines is how many lines wait for a slow output; more are dropped and counted. At 200 bytes a line they take 400 KB.
const sinkLines = 2048

// Sink hands lines to an output that may be slow or stand still, without ever waiting for it.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    conc.WaitGroup
}

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, sinkLines)}
	s.done.Go(s.run)
	return s
}

func (s *Sink) run() {
	told := uint64(0)
	for line := range s.lines {
		if dropped := s.dropped.Load(); dropped != told {
			s.write(fmt.Appendf(nil, "%q dropped=%d\n", LinesDropped.title(), dropped-told))
			told = dropped
		}
		s.write(line)
	}
}

// write counts what the output refuses, since there is nowhere else to tell it.
func (s *Sink) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1)
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
