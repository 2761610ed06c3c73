package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/platform/standin"
)

const (
	binary   = "target/sapphirehatch"
	template = "deploy/host.ini.template"
	// zone is the zone of all hosts and replicas.
	zone = "z1"
	// heartbeat is the time between two check-ins of a replica. Three missed ones
	// remove its entry.
	heartbeat = 1200 * time.Millisecond
	// loopback is the address of all processes.
	loopback = "127.0.0.1"
	// Ports lie below the range that the system uses for outgoing connections. Each run
	// begins its search for free ones at another port, by process id. A host takes ports
	// of them.
	firstPort   = 21000
	portsPerRun = 20
	portRuns    = 500
	ports       = 5
)

// withoutControl matches the template's section for deployments with a control API,
// which the cases don't have.
var withoutControl = regexp.MustCompile(`(?s)\{\{#cloud\.address\}\}.*\{\{/cloud\.address\}\}`)

// lab is a small deployment on loopback addresses.
type lab struct {
	rec      *recorder
	dir      string
	store    *standin.Store
	endpoint *standin.Endpoint
	hosts    []*host
	closers  []func()
	// nextPort is the first port that is tried for the next host.
	nextPort int
}

// host is a host process, and the one that takes its place after a kill.
type host struct {
	name     string
	settings string
	callers  string
	front    *front
	cmd      *exec.Cmd
	exited   chan struct{}
	killed   bool
}

func newLab(record string) (*lab, error) {
	for _, path := range []string{binary, template} {
		if _, err := os.Stat(path); err != nil {
			return nil, err
		}
	}
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	l := &lab{rec: rec, store: standin.NewStore(), nextPort: firstPort + os.Getpid()%portRuns*portsPerRun}
	if l.dir, err = os.MkdirTemp("", "lab"); err != nil {
		return nil, err
	}
	if l.endpoint, err = l.store.Listen(); err != nil {
		return nil, err
	}
	return l, nil
}

// close ends all processes and servers of the lab.
func (l *lab) close() {
	for _, h := range l.hosts {
		h.kill()
	}
	for _, c := range l.closers {
		c()
	}
	l.endpoint.Close()
	_ = os.RemoveAll(l.dir)
	l.rec.close()
}

// configure writes a version of the manifest, as the operator does.
func (l *lab) configure(version int, routes string) {
	l.store.Rows.Put(platform.RowID{Table: "op", Key: "config"}, fmt.Appendf(nil,
		`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, routes, trainService))
	l.rec.add("operator: version %d of the manifest is acknowledged", version)
}

// nameVersion writes the version of a model's weights that a trainer names.
func (l *lab) nameVersion(model string, version int) {
	l.store.Rows.Put(platform.RowID{Table: "op", Key: "version/" + model}, fmt.Appendf(nil, `{"model_id":%q,"version":%d}`, model, version))
	l.rec.add("trainer: version %d of %s is named", version, model)
}

// freePorts returns a port such that it and the next ones are free.
func (l *lab) freePorts() (int, error) {
	for ; l.nextPort < firstPort+portRuns*portsPerRun+portsPerRun; l.nextPort += ports {
		free := true
		for port := l.nextPort; port < l.nextPort+ports && free; port++ {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", loopback, port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			first := l.nextPort
			l.nextPort += ports
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

// addHost starts a host with a share of a core and the installation's status_s, which
// the template turns into settings.
func (l *lab) addHost(name string, share float64, statusSeconds int) (*host, error) {
	first, err := l.freePorts()
	if err != nil {
		return nil, err
	}
	way, address, err := newFront(l.endpoint.Address())
	if err != nil {
		return nil, err
	}
	l.closers = append(l.closers, way.close)
	at := func(n int) string { return fmt.Sprintf("%s:%d", loopback, first+n) }
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	settings := strings.NewReplacer(
		"{{node_name}}", name, "{{zone}}", zone, "{{region}}", "here", "{{limits.cpu_share}}", fmt.Sprint(share),
		"{{listen.frontend}}", at(0), "{{listen.ready}}", at(1), "{{listen.directory}}", at(2),
		"{{ip}}:{{internal_ports.0}}", at(3), "{{ip}}:9464", at(4), "{{platform.address}}", address,
		"{{bounds.lease_ms}}", "3000", "{{bounds.grace_s}}", "8", "{{bounds.status_s}}", fmt.Sprint(statusSeconds),
	).Replace(withoutControl.ReplaceAllString(string(text), ""))
	if strings.Contains(settings, "{{") {
		return nil, errors.New("the settings template has a field that the case does not know")
	}
	h := &host{name: name, callers: at(0), front: way, exited: make(chan struct{})}
	h.settings = settings
	if err := l.startHost(h); err != nil {
		return nil, err
	}
	l.hosts = append(l.hosts, h)
	return h, l.awaitReady("http://" + at(1) + "/sapphirehatch/readyz")
}

func (l *lab) startHost(h *host) error {
	path := filepath.Join(l.dir, h.name+".ini")
	if err := os.WriteFile(path, []byte(h.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(l.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(binary, "serve")
	h.cmd.Env = append(os.Environ(), "SAPPHIREHATCH_BOOT="+path)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	l.rec.add("host %s: started, callers at %s", h.name, h.callers)
	cmd, exited := h.cmd, h.exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// kill ends the process of a host by SIGKILL and waits for its end.
func (h *host) kill() {
	if h.killed {
		return
	}
	h.killed = true
	_ = h.cmd.Process.Kill()
	<-h.exited
}

// restart starts a killed host again, as the platform does.
func (l *lab) restart(h *host) {
	h.exited, h.killed = make(chan struct{}), false
	if err := l.startHost(h); err != nil {
		h.killed = true
		l.rec.add("host %s could not be started again: %v", h.name, err)
	}
}

// awaitReady waits until a readiness check answers 200.
func (l *lab) awaitReady(url string) error {
	for range 100 {
		if status, _, err := call("GET", url, "", nil, nil); err == nil && status == 200 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("not ready: " + url)
}

// copyLogs appends the lines of the hosts' logs that contain text to the record.
func (l *lab) copyLogs(texts ...string) {
	for _, h := range l.hosts {
		log, err := os.ReadFile(filepath.Join(l.dir, h.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(log)) {
			for _, text := range texts {
				if strings.Contains(line, text) {
					l.rec.add("log of host %s: %s", h.name, strings.TrimSpace(line))
					break
				}
			}
		}
	}
}
