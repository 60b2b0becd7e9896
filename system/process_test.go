package system_test

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
	"strconv"
	"strings"
	"syscall"
	"time"

	"daisyswitch/settings"
)

const (
	readyTimeout  = 30 * time.Second // a process that is not ready by then has failed
	pollInterval  = 20 * time.Millisecond
	healthTimeout = time.Second
)

// process is one daisyswitch process under test.
type process struct {
	Name  string
	Admin string
	role  string
	file  string
	log   string
	bin   string
	cmd   *exec.Cmd
}

// Start runs the process again after a Kill or Stop, with the same settings.
func (p *process) Start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.Name, err)
	}
	defer log.Close()
	p.cmd = exec.Command(p.bin, p.role, "--settings", p.file)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	return nil
}

// WaitReady waits until the process reports that it is ready.
func (p *process) WaitReady() error {
	client := &http.Client{Timeout: healthTimeout}
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		response, err := client.Get("http://" + p.Admin + "/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s is not ready after %v; the end of its log:\n%s", p.Name, readyTimeout, p.logEnd())
}

// logEnd returns the last lines of the process's log.
func (p *process) logEnd() string {
	const lines = 5
	log, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(log)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// Kill kills the process (SIGKILL) and waits for its exit.
func (p *process) Kill() error {
	return p.signalAndWait(syscall.SIGKILL)
}

// Stop stops the process gracefully (SIGTERM) and waits for its exit. An exit code other than 0 is an error.
func (p *process) Stop() error {
	return p.signalAndWait(syscall.SIGTERM)
}

func (p *process) signalAndWait(signal syscall.Signal) error {
	if p.cmd == nil {
		return nil
	}
	err := p.cmd.Process.Signal(signal)
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	err = p.cmd.Wait()
	p.cmd = nil
	if signal == syscall.SIGKILL {
		return nil
	}
	return err
}

// Freeze suspends the process (SIGSTOP), as on a paused instance, and returns once all its threads are stopped.
func (p *process) Freeze() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for {
		stopped, err := p.isStopped()
		if stopped || err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// isStopped reports whether all threads are stopped. The state of a thread is the first letter after the name in parentheses.
func (p *process) isStopped() (bool, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		return false, fmt.Errorf("threads of %s cannot be read: %w", p.Name, err)
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			return false, err
		}
		_, state, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(state, "T") {
			return false, nil
		}
	}
	return true, nil
}

// Thaw resumes a frozen process (SIGCONT).
func (p *process) Thaw() error {
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// options configures a cluster.
type options struct {
	Bin     string // the daisyswitch program
	Dir     string // directory for settings, data and logs
	Entries int
}

// cluster is three control processes and some entries, assigned to the failure domains in turn.
type cluster struct {
	Controls []*process
	Entries  []*process
	Replicas []settings.Replica
	Settings []settings.Entry // of Entries
}

const replicas = 3

// newCluster writes the settings of a cluster without starting its processes.
func newCluster(o options) (*cluster, error) {
	c := &cluster{}
	addresses, err := freeAddresses(2*replicas + 5*o.Entries)
	if err != nil {
		return nil, err
	}
	next := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	for id := 1; id <= replicas; id++ {
		c.Replicas = append(c.Replicas, settings.Replica{ID: uint64(id), Inner: next(), Domain: domain(id)})
	}
	var neighbors []settings.Neighbor
	for i := 1; i <= o.Entries; i++ {
		neighbors = append(neighbors, settings.Neighbor{Name: fmt.Sprintf("entry-%d", i), Inner: next(), Domain: domain(i)})
	}
	for _, r := range c.Replicas {
		if err := c.addControl(o, r, next()); err != nil {
			return nil, err
		}
	}
	for _, n := range neighbors {
		s := settings.Entry{
			Common:    settings.Common{Name: n.Name, Domain: n.Domain, Inner: n.Inner, Admin: next()},
			Callers:   next(),
			Platform:  next(),
			Operators: next(),
			Control:   c.Replicas,
			Entries:   neighbors,
			DrainMS:   100,
		}
		p, err := newProcess(o, "entry", s.Common, minimalEntry(&s))
		if err != nil {
			return nil, err
		}
		c.Entries = append(c.Entries, p)
		c.Settings = append(c.Settings, s)
	}
	return c, nil
}

func domain(i int) string {
	return fmt.Sprintf("domain-%d", (i-1)%replicas+1)
}

func (c *cluster) addControl(o options, r settings.Replica, admin string) error {
	common := settings.Common{Name: fmt.Sprintf("control-%d", r.ID), Domain: r.Domain, Inner: r.Inner, Admin: admin}
	p, err := newProcess(o, "control", common, map[string]any{
		"name":           common.Name,
		"domain":         common.Domain,
		"inner":          common.Inner,
		"admin":          common.Admin,
		"id":             r.ID,
		"data":           filepath.Join(o.Dir, common.Name),
		"control":        c.Replicas,
		"lease_ms":       3000,
		"snapshot_every": 200,
	})
	if err != nil {
		return err
	}
	c.Controls = append(c.Controls, p)
	return nil
}

// minimalEntry returns the settings of an entry without those that have a default.
func minimalEntry(s *settings.Entry) map[string]any {
	return map[string]any{
		"name":      s.Name,
		"domain":    s.Domain,
		"inner":     s.Inner,
		"admin":     s.Admin,
		"callers":   s.Callers,
		"platform":  s.Platform,
		"operators": s.Operators,
		"control":   s.Control,
		"entries":   s.Entries,
		"drain_ms":  s.DrainMS,
	}
}

func newProcess(o options, role string, common settings.Common, content any) (*process, error) {
	data, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("settings of %s: %w", common.Name, err)
	}
	p := &process{
		Name:  common.Name,
		Admin: common.Admin,
		role:  role,
		file:  filepath.Join(o.Dir, common.Name+".json"),
		log:   filepath.Join(o.Dir, common.Name+".log"),
		bin:   o.Bin,
	}
	return p, os.WriteFile(p.file, data, 0o600)
}

// firstPort is the first port of a cluster's addresses, below those that the system gives to outgoing connections.
const firstPort = 7100

// freeAddresses returns n addresses on an IP of their own, so that no other test, and no outgoing connection, takes one before its process listens there.
func freeAddresses(n int) ([]string, error) {
	const tries = 50
	var failed error
	for range tries {
		ip := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
		addresses := make([]string, n)
		for i := range addresses {
			addresses[i] = net.JoinHostPort(ip.String(), strconv.Itoa(firstPort+i))
		}
		if failed = checkFree(addresses); failed == nil {
			return addresses, nil
		}
	}
	return nil, fmt.Errorf("find free addresses: %w", failed)
}

func checkFree(addresses []string) error {
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}

// All returns every process.
func (c *cluster) All() []*process {
	return append(append([]*process{}, c.Controls...), c.Entries...)
}

// Start starts every process and waits until all are ready.
func (c *cluster) Start() error {
	for _, p := range c.All() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range c.All() {
		if err := p.WaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills the processes that still run and waits for their exit.
func (c *cluster) Close() error {
	var failed error
	for _, p := range c.All() {
		failed = errors.Join(failed, p.Kill())
	}
	return failed
}

// Operators returns the operators' addresses of all entries.
func (c *cluster) Operators() []string {
	var addresses []string
	for _, s := range c.Settings {
		addresses = append(addresses, s.Operators)
	}
	return addresses
}
