package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Ports, which are the same on all addresses of a deployment.
const (
	callerPort  = 8161
	controlPort = 8166
	readyPort   = 8167
	innerPort   = 7720
	adminPort   = 7735
	workerPort  = 8080
)

// Sizes of the small deployment with three failure domains.
const (
	domains         = 3
	gateways        = 9
	memberMemory    = "280"
	memberFDs       = "4096"
	gatewayMemory   = "284"
	gatewayFDs      = "4100"
	startTimeout    = 20 * time.Second
	longestLeaseMS  = 6000
	leaseMarginMS   = 2500
	gatewayDrainMS  = 2500
	toleratedLosses = 1
)

// usualKind is the kind of most workers.
const usualKind = "a"

var domainNames = [domains]string{"visayas-a", "visayas-b", "visayas-c"}

// deployment is the running system with its stand-ins.
type deployment struct {
	*record
	program    string
	folder     string
	network    string // first two parts of all addresses
	members    []*process
	gateways   []*process
	workers    []*worker
	trigger    *trigger
	forwarders []*forwarder
	started    map[string]map[string]bool // tasks that have begun, by submission; guarded by startedMu
	startedMu  sync.Mutex
}

// newDeployment starts three members and nine gateways, as on the small deployment.
func newDeployment(program string, r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "scene-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, program: program, folder: folder, trigger: &trigger{}, started: map[string]map[string]bool{}}
	if err := d.chooseNetwork(); err != nil {
		return nil, err
	}
	var seeds []map[string]any
	for i := range domains {
		seeds = append(seeds, map[string]any{"address": fmt.Sprintf("%s.1.%d:%d", d.network, i+1, controlPort)})
	}
	for i := range domains {
		d.members = append(d.members, d.newMember(i, seeds))
	}
	if err := d.forwardMembers(d.trigger); err != nil {
		return d, err
	}
	for i := range gateways {
		d.gateways = append(d.gateways, d.newGateway(i, seeds))
	}
	for _, p := range append(append([]*process{}, d.members...), d.gateways...) {
		if err := p.start(program); err != nil {
			return d, err
		}
		d.note("started %s at %s", p.name, p.ip)
	}
	return d, nil
}

// chooseNetwork chooses loopback addresses on which the ports are free.
func (d *deployment) chooseNetwork() error {
	for range 100 {
		network := fmt.Sprintf("127.%d", 20+rand.IntN(200))
		if network != "127.127" && isFree(network) {
			d.network = network
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func isFree(network string) bool {
	for _, host := range []string{"1.1", "1.2", "1.3", "2.1", "2.2", "2.3", "3.1", "4.1", "6.1", "6.2", "6.3"} {
		for _, port := range []int{callerPort, controlPort, readyPort, innerPort, adminPort, workerPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%s:%d", network, host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (d *deployment) newMember(i int, seeds []map[string]any) *process {
	ip, name := fmt.Sprintf("%s.1.%d", d.network, i+1), fmt.Sprintf("core-%s-1", domainNames[i])
	return &process{name: name, role: "member", ip: ip, folder: d.folder, memoryMB: memberMemory, maxFDs: memberFDs, settings: map[string]any{
		"name": name, "domain": domainNames[i], "inner": fmt.Sprintf("%s:%d", ip, innerPort), "admin": fmt.Sprintf("%s:%d", ip, adminPort),
		"announcements": fmt.Sprintf("%s:%d", ip, controlPort), "data": filepath.Join(d.folder, name), "seeds": seeds,
		"first": 1, "losses": toleratedLosses, "longest_lease_ms": longestLeaseMS, "lease_margin_ms": leaseMarginMS,
	}}
}

func (d *deployment) newGateway(i int, seeds []map[string]any) *process {
	domain := domainNames[i%domains]
	ip, name := fmt.Sprintf("%s.2.%d", d.network, i+1), fmt.Sprintf("front-%s-%d", domain, i/domains+1)
	return &process{name: name, role: "gateway", ip: ip, folder: d.folder, memoryMB: gatewayMemory, maxFDs: gatewayFDs, settings: map[string]any{
		"name": name, "domain": domain, "inner": fmt.Sprintf("%s:%d", ip, innerPort), "admin": fmt.Sprintf("%s:%d", ip, adminPort),
		"clients": fmt.Sprintf("%s:%d", ip, callerPort), "ready": fmt.Sprintf("%s:%d", ip, readyPort), "seeds": seeds, "drain_ms": gatewayDrainMS,
	}}
}

// close ends all processes and workers and removes the folder.
func (d *deployment) close() {
	for _, p := range append(append([]*process{}, d.members...), d.gateways...) {
		p.kill()
	}
	for _, w := range d.workers {
		w.crash()
	}
	for _, f := range d.forwarders {
		f.close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.folder) //nolint:errcheck // a temporary folder
	}
}

// startWorker starts a worker's life.
func (d *deployment) startWorker(w *worker) error {
	if err := w.start(); err != nil {
		return err
	}
	d.workers = append(d.workers, w)
	return nil
}

// addWorkers starts workers of the usual kind in a pool, on the addresses NETWORK.block.1 and following, in all domains in turn and eight to a rack.
func (d *deployment) addWorkers(pool string, block, count int) error {
	for i := range count {
		labels := []string{usualKind, fmt.Sprintf("r%d-%d", block, i/8+1)}
		w := newWorker(d, fmt.Sprintf("i-%s-%d", pool, i+1), pool, fmt.Sprintf("%s.%d.%d:%d", d.network, block, i+1, workerPort), domainNames[i%domains], labels)
		if err := d.startWorker(w); err != nil {
			return err
		}
	}
	return nil
}

// recordBegun records that a task has begun.
func (d *deployment) recordBegun(task string) {
	id, _, _ := strings.Cut(task, ".")
	d.startedMu.Lock()
	defer d.startedMu.Unlock()
	if d.started[id] == nil {
		d.started[id] = map[string]bool{}
	}
	d.started[id][task] = true
}

// begun returns how many tasks of a submission have begun.
func (d *deployment) begun(id string) int {
	d.startedMu.Lock()
	defer d.startedMu.Unlock()
	return len(d.started[id])
}
