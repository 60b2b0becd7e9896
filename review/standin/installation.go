package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// sizes says how large an installation is.
type sizes struct {
	gateways  int
	executors []executorKind
}

// executorKind is a number of equal executors in turn over the zones.
type executorKind struct {
	count int
	label string
}

// Times of an installation, of the small deployment of the users' pages unless said otherwise.
const (
	leaseMS         = 3500
	longestLeaseMS  = 6000
	heartbeatEvery  = 1500 * time.Millisecond
	stopTimeout     = 900 * time.Millisecond
	grace           = 6 * time.Second
	startTimeout    = 20 * time.Second
	requestDeadline = 3 * time.Second
	operatorWait    = time.Second
)

const (
	memberCount = 3
	maxAttempts = 3
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Names that a day draws.
const (
	hostName  = "nony24.example"
	prefix    = "/lohu930/"
	routeName = "r-wrr6x73"
	pool      = "huvo11a"
)

// installation is a whole system with its stand-ins.
type installation struct {
	*record
	trouble   bool
	program   string
	dir       string
	temporary bool
	members   []*process
	gateways  []*process
	executors []*executor
	client    *http.Client
	network   string // first three bytes of all addresses
	firstPort int
	tasks     sync.WaitGroup
	work      map[string]workTime // by submission

	mu      sync.Mutex
	closing bool
}

// process is a member or a gateway.
type process struct {
	name, role, zone, ip string
	settings             string // path of its settings file
	command              *exec.Cmd
}

// The ports of a machine, counted from its first one.
const (
	innerPort = iota
	adminPort
	controlPort
	frontPort
	readyPort
	executorPort
	portCount
)

func newInstallation(program, keep string, trouble bool, s sizes, r *record) (*installation, error) {
	in := &installation{record: r, trouble: trouble, program: program, dir: keep, work: map[string]workTime{}}
	var err error
	if in.program, err = filepath.Abs(program); err != nil {
		return nil, err
	}
	if keep == "" {
		in.temporary = true
		if in.dir, err = os.MkdirTemp("", "review"); err != nil {
			return nil, err
		}
	} else if err = os.MkdirAll(keep, 0o700); err != nil {
		return nil, err
	}
	if err := in.chooseAddresses(); err != nil {
		return nil, err
	}
	in.client = &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for i := range memberCount {
		in.members = append(in.members, in.newProcess("member", i, 1))
	}
	for i := range s.gateways {
		in.gateways = append(in.gateways, in.newProcess("gateway", i, 20))
	}
	number := 0
	for _, kind := range s.executors {
		for range kind.count {
			in.executors = append(in.executors, newExecutor(in, number, kind.label))
			number++
		}
	}
	return in, nil
}

// chooseAddresses draws a loopback network and ports that are free on it.
func (in *installation) chooseAddresses() error {
	for range 50 {
		in.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		in.firstPort = 20000 + rand.IntN(10000)
		free := true
		for port := range portCount {
			listener, err := net.Listen("tcp", in.address(in.network+".1", port))
			if err != nil {
				free = false
				break
			}
			listener.Close()
		}
		if free {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (in *installation) address(ip string, port int) string {
	return net.JoinHostPort(ip, fmt.Sprint(in.firstPort+port))
}

func (in *installation) newProcess(role string, number, firstIP int) *process {
	zone := zones[number%len(zones)]
	p := &process{name: fmt.Sprintf("%s-%s-%d", role, zone, number/len(zones)+1), role: role, zone: zone, ip: fmt.Sprintf("%s.%d", in.network, firstIP+number)}
	p.settings = filepath.Join(in.dir, p.name+".json")
	return p
}

var (
	seedSection      = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
	bootstrapSection = regexp.MustCompile(`\{\{#bootstrap\}\}.*\{\{/bootstrap\}\}`)
)

// writeSettings fills in the template of the deploy file, as the platform does.
func (in *installation) writeSettings(p *process, first bool) error {
	template, err := os.ReadFile(filepath.Join("deploy", p.role+".json"))
	if err != nil {
		return err
	}
	var seeds []string
	for _, m := range in.members {
		seeds = append(seeds, fmt.Sprintf(`{ "address": %q }`, in.address(m.ip, controlPort)))
	}
	bootstrap := "0"
	if first {
		bootstrap = "1"
	}
	text := seedSection.ReplaceAllLiteralString(string(template), strings.Join(seeds, ", "))
	text = bootstrapSection.ReplaceAllLiteralString(text, bootstrap)
	quoted := func(s string) string { return fmt.Sprintf("%q", s) }
	text = strings.NewReplacer(
		"{{node|json}}", quoted(p.name), "{{zone|json}}", quoted(p.zone), "{{ip}}", p.ip,
		"{{port-range.0}}", fmt.Sprint(in.firstPort+innerPort), "{{port-range.1}}", fmt.Sprint(in.firstPort+adminPort),
		"{{listen.control|json}}", quoted(in.address(p.ip, controlPort)), "{{listen.front|json}}", quoted(in.address(p.ip, frontPort)),
		"{{listen.ready|json}}", quoted(in.address(p.ip, readyPort)), "{{data-dir|json}}", quoted(filepath.Join(in.dir, p.name+"-data")),
		"{{tolerate.machines}}", "1", "{{bounds.max-hold-ms}}", fmt.Sprint(longestLeaseMS),
		"{{limits.memory-mb}}", "408", "{{limits.max-fds}}", "4096",
	).Replace(text)
	if strings.Contains(text, "{{") {
		return fmt.Errorf("deploy/%s.json has a placeholder that this stand-in does not know: %s", p.role, text)
	}
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// startProcess starts a member or a gateway with the command of the deploy file.
func (in *installation) startProcess(p *process, first bool) error {
	if err := in.writeSettings(p, first); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(in.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(in.program, p.role, "--settings", p.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	in.mu.Lock()
	p.command = command
	in.mu.Unlock()
	in.note("process starts", "name", p.name, "ip", p.ip)
	in.tasks.Add(1)
	go func() {
		defer in.tasks.Done()
		err := command.Wait()
		in.mu.Lock()
		expected := in.closing
		in.mu.Unlock()
		if !expected {
			in.fail(fmt.Errorf("%s ended by itself: %w", p.name, err))
		}
	}()
	return nil
}

func (in *installation) processes() []*process {
	return append(append([]*process(nil), in.members...), in.gateways...)
}

// start starts everything and waits until submissions are accepted.
func (in *installation) start() error {
	for _, p := range in.processes() {
		if err := in.startProcess(p, true); err != nil {
			return err
		}
	}
	if err := in.configure(in.configuration(1)); err != nil {
		return err
	}
	for _, e := range in.executors {
		if err := e.start(); err != nil {
			return err
		}
	}
	return in.awaitReady()
}

func (in *installation) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		ready := 0
		for _, g := range in.gateways {
			if status, _ := in.call(http.MethodGet, in.address(g.ip, readyPort), word("ready"), "", nil, time.Second); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(in.gateways) {
			time.Sleep(4 * time.Second) // for the executors' first check-ins and leases
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the gateways were not ready in time")
}

// close ends all processes that were started.
func (in *installation) close() {
	for _, e := range in.executors {
		e.shut(false)
	}
	in.abort()
}

// abort ends all processes that were started and removes the temporary folder.
func (in *installation) abort() {
	in.killAll()
	in.tasks.Wait()
	if !in.temporary {
		return
	}
	if err := os.RemoveAll(in.dir); err != nil {
		in.note("folder not removed", "cause", err)
	}
}

func (in *installation) killAll() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closing = true
	for _, p := range in.processes() {
		if p.command == nil {
			continue
		}
		if err := p.command.Process.Kill(); err != nil {
			in.note("not killed", "process", p.name, "cause", err)
		}
	}
}

// encode returns a value as JSON.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return b
}
