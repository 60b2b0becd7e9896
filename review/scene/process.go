package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// process is one member or gateway.
type process struct {
	name, role, ip string
	settings       map[string]any
	memoryMB       string
	maxFDs         string
	folder         string
	command        *exec.Cmd
}

// start writes the settings and starts the program with the command of the deploy file.
func (p *process) start(program string) error {
	text, err := json.MarshalIndent(p.settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(p.folder, p.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(program, p.role, "--settings", path, "--memory-mb", p.memoryMB, "--max-fds", p.maxFDs)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.command.Start()
}

// kill ends the process, also one that is stopped.
func (p *process) kill() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	p.command.Process.Kill() //nolint:errcheck // it may have ended already
	p.command.Wait()         //nolint:errcheck // its status does not matter
	p.command = nil
}
