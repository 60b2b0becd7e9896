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
	exitOK    = 0
	exitFault = 1 // the command failed, or found what must not be
	exitUsage = 2 // the command line makes no sense
)

// command is one command of the program.
type command struct {
	name    string
	short   string
	example string
	data    flags.Commander
}

func commands() []command {
	return []command{
		{"worker", "run a worker with fake tasks", "standin worker --name w1 --domain east --entry 127.0.0.1:8081", &workerCommand{}},
		{"upstream", "run an upstream that serves requests", "standin upstream --name u1 --domain east --class bids --entry 127.0.0.1:8081", &upstreamCommand{}},
		{"caller", "load entries with requests and check the answers", "standin caller --class bids --rate 200 --entry 127.0.0.1:8080", &callerCommand{}},
		{"link", "forward connections, and go silent when told to", "standin link --forward 127.0.0.1:9100=127.0.0.1:7000 --admin 127.0.0.1:9101", &linkCommand{}},
		{"check", "hold journals against the promises", "standin check --journals demo/out", &checkCommand{}},
		{"watch", "write down the configuration in force at entries", "standin watch --journal events-watch.jsonl --entry e1=127.0.0.1:8082", &watchCommand{}},
		{"note", "write down what an operator or script did", "standin note --journal events.jsonl --domain east domain_out", &noteCommand{}},
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	klog.InitFlags(flag.CommandLine)
	defer klog.Flush()
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Stand-ins for what surrounds daisyswitch. Exit codes: 0 well, 1 failed or found a violation, 2 wrong command line."
	for _, c := range commands() {
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
		return exitFault
	}
}

// stopped is closed when the process is told to stop by SIGTERM or SIGINT.
func stopped() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// within returns a context for finishing what is in progress.
func within(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), limit)
}
