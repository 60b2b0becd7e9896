package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // the command failed or found a violation
	exitUsage  = 2 // the command line is invalid
)

// subcommand describes one subcommand of the program.
type subcommand struct {
	name    string
	short   string
	example string
	data    flags.Commander
}

func subcommands() []subcommand {
	return []subcommand{
		{"worker", "run a worker with fake tasks", "standin worker --name w1 --domain east --entry 127.0.0.1:8081", &workerCommand{}},
		{"upstream", "run an upstream that serves requests", "standin upstream --name u1 --domain east --class bids --entry 127.0.0.1:8081", &upstreamCommand{}},
		{"caller", "send requests to entries and check the responses", "standin caller --class bids --rate 200 --entry 127.0.0.1:8080", &callerCommand{}},
		{"link", "forward connections, and stall them on request", "standin link --forward 127.0.0.1:9100=127.0.0.1:7000 --admin 127.0.0.1:9101", &linkCommand{}},
		{"check", "check journals against the promises", "standin check --journals demo/out", &checkCommand{}},
		{"watch", "record the active configuration version of entries", "standin watch --journal events-watch.jsonl --entry e1=127.0.0.1:8082", &watchCommand{}},
		{"note", "record an action of an operator or script", "standin note --journal events.jsonl --domain east domain_out", &noteCommand{}},
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	klog.InitFlags(flag.CommandLine)
	defer klog.Flush()
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Simulated workers, upstreams, callers and network links for tests of daisyswitch. Exit codes: 0 done, 1 failed or found a violation, 2 wrong command line."
	for _, c := range subcommands() {
		long := strings.ToUpper(c.short[:1]) + c.short[1:] + ".\n\nExample:\n  " + c.example
		if _, err := parser.AddCommand(c.name, c.short, long, c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
	}
	return exitCode(parser.ParseArgs(args))
}

func exitCode(_ []string, err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
}

// signalContext returns a context that is cancelled when the process receives SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// timeoutContext returns a context with a time limit for a graceful shutdown.
func timeoutContext(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), limit)
}
