package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// host is an entry host of the project: a process of its own.
type host struct {
	id       string
	settings string
	callers  string
	ready    string
	log      *os.File
	process  *exec.Cmd
}

// settingsText is deploy/rows-host.ini.template with the figures of a small deployment.
const settingsText = `[host]
id = %s
failure_domain = zone-a
region = region-a
cores = 0.8
memory_mb = %d
max_fds = 8200
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
`

const (
	// firstPort and ports are a range below that of the system's own choice, so that no
	// connection takes a port between its choice and the start of a host.
	firstPort = 15_000
	ports     = 15_000
)

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		listener, err := net.Listen("tcp4", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// newHost writes the settings of a host. Its process is started by start.
func newHost(dir, id, storeAddress string, memory int) (*host, error) {
	h := &host{id: id, settings: filepath.Join(dir, id+".ini"), callers: freeAddress(), ready: freeAddress()}
	text := fmt.Sprintf(settingsText, id, memory, h.callers, h.ready, freeAddress(), freeAddress(), freeAddress(), storeAddress)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	h.log, err = os.Create(filepath.Join(dir, id+".log"))
	return h, err
}

// start starts the host's process with the command of the deploy file.
func (h *host) start() error {
	h.process = exec.Command("target/sapphirehatch", "serve")
	// The machines of the pages report one core.
	h.process.Env = append(os.Environ(), "SAPPHIREHATCH_BOOT="+h.settings, "GOMAXPROCS=1")
	h.process.Stdout, h.process.Stderr = h.log, h.log
	// The process ends with this one, however that ends.
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.process.Start()
}

// end sends SIGKILL to the host's process.
func (h *host) end() { _ = h.process.Process.Kill() }

// kill kills the host's process and waits for its end.
func (h *host) kill() {
	h.end()
	_ = h.process.Wait()
}

// cluster is the hosts of a case with the store that they use.
type cluster struct {
	dir    string
	store  *store
	ledger *ledger
	hosts  []*host
	record *record
	// memoryMB is the memory of each machine.
	memoryMB int
}

// newCluster prepares n hosts with an amount of memory, in units of 1,048,576 bytes.
func newCluster(rec *record, s *store, n, memoryMB int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "sapphirehatch-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, store: s, ledger: &ledger{}, record: rec, memoryMB: memoryMB}
	for i := range n {
		id := fmt.Sprintf("host-%d", i+1)
		h, err := newHost(dir, id, s.listen(id), memoryMB)
		if err != nil {
			return c, err
		}
		c.hosts = append(c.hosts, h)
	}
	return c, nil
}

// start starts all hosts and waits until they are ready.
func (c *cluster) start() error {
	for _, h := range c.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range c.hosts {
			if status, _, err := call("GET", h.ready, "/sapphirehatch/readyz", nil, nil, time.Second); err == nil && status == 200 {
				ready++
			}
		}
		if ready == len(c.hosts) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d hosts are ready", ready, len(c.hosts))
		}
	}
}

// stop ends all processes and removes the temporary folder.
func (c *cluster) stop() {
	for _, h := range c.hosts {
		if h.process != nil && h.process.ProcessState == nil {
			h.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// host returns the host with an id.
func (c *cluster) host(id string) *host {
	for _, h := range c.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// smallHosts is the number of hosts of a case, and usualMemory the memory of their machines on
// sheet rogkappe-drift.
const (
	smallHosts  = 3
	usualMemory = 304
)

// startSmall starts hosts with replicas of a model and of a plain service.
func startSmall(rec *record, s *store, memoryMB, events int, pace, appTime time.Duration) (*cluster, error) {
	c, err := newCluster(rec, s, smallHosts, memoryMB)
	if err != nil {
		return c, err
	}
	for i := range 3 {
		(&replica{id: fmt.Sprintf("engine-%d", i+1), service: "llm", model: modelName, slots: 8, events: events, pace: pace, store: s, ledger: c.ledger}).start()
	}
	for i := range 4 {
		(&replica{id: fmt.Sprintf("app-%d", i+1), service: "app", slots: 6, pace: appTime, store: s, ledger: c.ledger}).start()
	}
	s.put("op", "config", manifest(1))
	return c, c.start()
}
