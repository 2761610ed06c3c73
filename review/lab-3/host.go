package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/standin/ports"
)

const (
	// hostMemoryMB and hostFDs are those of a host of the small deployments.
	hostMemoryMB = 314
	hostFDs      = 8200
	// restartDelay is the pause before a process that has ended is started again.
	restartDelay = time.Second
)

// machine is one host with the process that runs on it. The platform starts each process again
// that has ended.
type machine struct {
	lab  *lab
	id   string
	dir  string
	addr map[string]string

	mu sync.Mutex
	// process is nil while none runs.
	process *os.Process
	// startedAt is when the process was started.
	startedAt time.Time
	// held is true while no process is to be started.
	held bool
	done chan struct{}
}

// newMachine writes the settings of a host, with the keys of the deploy file's template.
func newMachine(l *lab, id, zone string, free *ports.Range) (*machine, error) {
	m := &machine{lab: l, id: id, dir: filepath.Join(l.dir, id), addr: map[string]string{}, done: make(chan struct{})}
	for _, name := range []string{"caller", "ready", "entry", "peer", "metrics"} {
		address, err := free.FreeAddress()
		if err != nil {
			return nil, err
		}
		m.addr[name] = address
	}
	settings := fmt.Sprintf(`[host]
id = %s
failure_domain = %s
region = r1
cores = 0.8
memory_mb = %d
max_fds = %d
caller_address = %s
ready_address = %s
entry_address = %s
peer_address = %s
metrics_address = %s

[platform]
adapter = rows
address = %s

[timing]
lease_term = 3000ms
stop_grace = 8s
job_retention = 120s

[log]
level = info
`, id, zone, hostMemoryMB, hostFDs, m.addr["caller"], m.addr["ready"], m.addr["entry"], m.addr["peer"], m.addr["metrics"], l.store.address)
	if err := os.MkdirAll(m.dir, 0o750); err != nil {
		return nil, err
	}
	return m, os.WriteFile(filepath.Join(m.dir, "host.ini"), []byte(settings), 0o600)
}

// run starts the process again whenever it has ended, until the lab ends.
func (m *machine) run() {
	defer close(m.done)
	for !m.lab.ended() {
		m.mu.Lock()
		held := m.held
		m.mu.Unlock()
		if !held {
			m.runOnce()
		}
		m.lab.sleep(restartDelay)
	}
}

// runOnce runs one process until it ends.
func (m *machine) runOnce() {
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.lab.note("%s: %v", m.id, err)
		return
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(m.lab.binary, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "SAPPHIREHATCH_BOOT=" + filepath.Join(m.dir, "host.ini")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		m.lab.note("%s: %v", m.id, err)
		return
	}
	m.mu.Lock()
	m.process, m.startedAt = cmd.Process, time.Now()
	m.mu.Unlock()
	m.lab.note("%s: process started", m.id)
	err = cmd.Wait()
	m.mu.Lock()
	m.process = nil
	m.mu.Unlock()
	m.lab.note("%s: process ended: %v", m.id, err)
}

// kill kills the process and keeps the machine without one for a time.
func (m *machine) kill(down time.Duration) {
	m.mu.Lock()
	m.held = true
	p := m.process
	m.mu.Unlock()
	if p != nil {
		m.lab.note("%s: killed for %s", m.id, down)
		_ = p.Kill()
	}
	go func() {
		m.lab.sleep(down)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.held = false
	}()
}

// stop ends the process.
func (m *machine) stop() {
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	if p != nil {
		_ = p.Kill()
	}
	<-m.done
}
