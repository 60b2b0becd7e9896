package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a member or a gateway.
type process struct {
	r        *rig
	role     string
	name     string
	admin    string
	options  []string
	settings object

	forwarder *forwarder // in front of a member, nil for a gateway

	mu      sync.Mutex // guards the fields below
	command *exec.Cmd
	logged  int // bytes in its log before it was started last
}

func (r *rig) newProcess(role, name, zone, ip string, settings object, memoryMB, maxFDs string) *process {
	settings["name"], settings["domain"] = name, zone
	settings["inner"], settings["admin"] = r.address(ip, portInner), r.address(ip, portAdmin)
	return &process{r: r, role: role, name: name, admin: r.address(ip, portAdmin), settings: settings, options: []string{"--memory-mb", memoryMB, "--max-fds", maxFDs}}
}

// start starts the process with the command of the deploy file. It ends with the rig.
func (p *process) start() error {
	text, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(p.r.dir, p.name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.r.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	written, err := log.Stat()
	if err != nil {
		return err
	}
	command := exec.Command(p.r.program, append([]string{p.role, "--settings", file}, p.options...)...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.logged = command, int(written.Size())
	p.r.note("%s %s is started", p.role, p.name)
	return nil
}

// outer returns the address of a member for executors and the operator.
func (p *process) outer() string { return p.settings.text("announcements") }

// ready reports whether the process says that it is ready.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.admin + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	p.command.Process.Kill() //nolint:errcheck // it may have ended by itself
	p.command.Wait()         //nolint:errcheck // a killed process has no success
	p.command = nil
}

// memoryMiB returns the resident memory of the process, 0 if it does not run.
func (p *process) memoryMiB() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		kib := int64(0)
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kib); n == 1 {
			return kib / 1024
		}
	}
	return 0
}

// leads reports whether the process runs and its log says that it leads.
func (p *process) leads() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return false
	}
	text, err := os.ReadFile(filepath.Join(p.r.dir, p.name+".log"))
	if err != nil || len(text) < p.logged {
		return false
	}
	last := string(text[p.logged:])
	return strings.LastIndex(last, "leadership_gained") > strings.LastIndex(last, "leadership_lost")
}

// leader returns the member that leads, nil if none does.
func (r *rig) leader() *process {
	for _, p := range r.members {
		if p.leads() {
			return p
		}
	}
	return nil
}
