package scenario

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/standin/ports"
)

// BenchmarkControlCost measures the control-plane overhead of a host that serves no
// requests: CPU time, resident memory, bytes of the peer exchange (with packet
// headers) and bytes of other I/O (calls to the platform and the log). Hosts are
// real processes. SAPPHIREHATCH_COST_HOSTS lists the numbers of hosts to measure,
// such as "13,26,52,104"; the default is 13.
//
//	go test ./scenario -run '^$' -bench ControlCost -benchtime 1x -timeout 30m
func BenchmarkControlCost(b *testing.B) {
	sizes := os.Getenv("SAPPHIREHATCH_COST_HOSTS")
	if sizes == "" {
		sizes = "13"
	}
	for _, size := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("hosts="+size, func(b *testing.B) { measureFleet(b, n) })
	}
}

const (
	costSettleTime     = 20 * time.Second
	costWindow         = 20 * time.Second
	costChangeInterval = 2 * time.Second // time between two configuration changes
	costFirstPort      = 32768 - 16000
	upstreamsPerHost   = 2 // entries in the membership list
)

// fleet is a platform and a number of hosts, each in a process of its own.
type fleet struct {
	b        *testing.B
	dir      string
	platform string
	hosts    []*fleetHost
}

type fleetHost struct {
	admin string
	cmd   *exec.Cmd
}

func measureFleet(b *testing.B, n int) {
	f := newFleet(b, n)
	b.ResetTimer()
	time.Sleep(costSettleTime)
	f.report("idle", func() { time.Sleep(costWindow) })
	f.report("changes", func() {
		for version, end := 1, time.Now().Add(costWindow); time.Now().Before(end); version++ {
			f.apply(version)
			time.Sleep(costChangeInterval)
		}
	})
}

func newFleet(b *testing.B, n int) *fleet {
	f := &fleet{b: b, dir: b.TempDir()}
	port := costFirstPort
	next := func() string {
		for {
			port++
			if address := fmt.Sprintf("127.0.0.1:%d", port); ports.IsFree(address) {
				return address
			}
		}
	}
	f.platform = next()
	f.start("standin", "platform", "--address", f.platform, "--member-ttl", "1h")
	f.waitFor(func() bool { return f.get("http://"+f.platform+"/members") != "" })
	for i := range n * upstreamsPerHost {
		f.post("http://"+f.platform+"/members", fmt.Sprintf(`{"id":"engine-%d","kind":"engine","pool":"advice","address":"127.0.0.1:1","failure_domain":"d%d","state":"live"}`, i, i%6))
	}
	var seed string
	for i := range n {
		h := &fleetHost{admin: next()}
		peer := next()
		if seed == "" {
			seed = peer
		}
		f.settings(i, next(), h.admin, peer, seed)
		f.hosts = append(f.hosts, h)
	}
	for i, h := range f.hosts {
		h.cmd = f.start("serve", "--settings", filepath.Join(f.dir, fmt.Sprintf("h%d.ini", i)))
	}
	f.waitFor(func() bool { return f.tryApply(0) })
	for _, h := range f.hosts {
		f.waitFor(func() bool { return strings.Contains(f.get("http://"+h.admin+"/readyz"), `"config_version":1`) })
	}
	return f
}

func (f *fleet) settings(i int, caller, admin, peer, seed string) {
	id := fmt.Sprintf("h%d", i)
	f.run("keys", "--out", f.dir, "--host", id)
	text := fmt.Sprintf("[host]\nid=%s\nfailure_domain=d%d\ncaller_address=%s\nadmin_address=%s\npeer_address=%s\nseed_peers=%s\n[platform]\naddress=%s\n[tls]\nca=%[8]s/ca.crt\ncertificate=%[8]s/%[1]s.crt\nkey=%[8]s/%[1]s.key\n[access]\noperator_token_sha256=%[9]s\n",
		id, i%6, caller, admin, peer, seed, f.platform, f.dir, costTokenHash())
	f.check(os.WriteFile(filepath.Join(f.dir, id+".ini"), []byte(text), 0o600))
}

const costToken = "cost-of-control"

// costTokenHash returns the SHA-256 of the operator's token, in hexadecimal.
func costTokenHash() string {
	hash := sha256.Sum256([]byte(costToken))
	return hex.EncodeToString(hash[:])
}

const costDocument = `[deployment]
name = cost-%d
subset_size = 16
[operator.cost]
token_sha256 = %s
role = editor
[engines.advice]
model = advice
`

func (f *fleet) apply(base int) {
	if !f.tryApply(base) {
		f.b.Fatalf("change %d was not accepted", base)
	}
}

func (f *fleet) tryApply(base int) bool {
	path := filepath.Join(f.dir, "document.ini")
	f.check(os.WriteFile(path, fmt.Appendf(nil, costDocument, base, costTokenHash()), 0o600))
	cmd := exec.Command("sapphirehatch", "config", "apply", "--host", f.hosts[0].admin, "--base", strconv.Itoa(base), path)
	cmd.Env = append(os.Environ(), "SAPPHIREHATCH_TOKEN="+costToken)
	return cmd.Run() == nil
}

func (f *fleet) start(args ...string) *exec.Cmd {
	cmd := exec.Command("sapphirehatch", args...)
	log, err := os.CreateTemp(f.dir, args[0]+"-*.log")
	f.check(err)
	cmd.Stdout, cmd.Stderr = log, log
	f.check(cmd.Start())
	f.b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
	})
	return cmd
}

func (f *fleet) run(args ...string) { f.check(exec.Command("sapphirehatch", args...).Run()) }

func (f *fleet) check(err error) {
	f.b.Helper()
	if err != nil {
		f.b.Fatal(err)
	}
}

func (f *fleet) waitFor(ok func() bool) {
	f.b.Helper()
	for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.b.Fatal("the fleet did not come up")
}

func (f *fleet) get(url string) string {
	req, err := http.NewRequest(http.MethodGet, url, nil) //nolint:noctx // loopback only
	f.check(err)
	req.Header.Set("Authorization", "Bearer "+costToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

func (f *fleet) post(url, body string) {
	resp, err := http.Post(url, "application/json", strings.NewReader(body)) //nolint:gosec,noctx // loopback only
	f.check(err)
	_ = resp.Body.Close()
}

// usage is the cumulative resource usage of all hosts.
type usage struct {
	cpu      time.Duration
	resident float64 // bytes
	private  float64 // resident bytes without the pages of the executable
	peer     float64 // bytes sent by the peer exchange
	otherIO  float64 // bytes read and written by system calls
}

func (f *fleet) usage() usage {
	var u usage
	for _, h := range f.hosts {
		pid := h.cmd.Process.Pid
		u.cpu += cpuTime(f, pid)
		u.resident += readNumber(f, fmt.Sprintf("/proc/%d/status", pid), `VmRSS:\s+([0-9]+)`) * 1024
		u.private += readNumber(f, fmt.Sprintf("/proc/%d/status", pid), `RssAnon:\s+([0-9]+)`) * 1024
		u.otherIO += readNumber(f, fmt.Sprintf("/proc/%d/io", pid), `rchar: ([0-9]+)`) + readNumber(f, fmt.Sprintf("/proc/%d/io", pid), `wchar: ([0-9]+)`)
		u.peer += peerBytesSent(f, h)
	}
	return u
}

func peerBytesSent(f *fleet, h *fleetHost) float64 {
	match := regexp.MustCompile(`sapphirehatch_peer_sent_bytes ([0-9.e+]+)`).FindStringSubmatch(f.get("http://" + h.admin + "/metrics"))
	if match == nil {
		f.b.Fatal("no figure of the peer exchange")
	}
	value, err := strconv.ParseFloat(match[1], 64)
	f.check(err)
	return value
}

func readNumber(f *fleet, path, pattern string) float64 {
	text, err := os.ReadFile(path)
	f.check(err)
	match := regexp.MustCompile(pattern).FindSubmatch(text)
	value, err := strconv.ParseFloat(string(match[1]), 64)
	f.check(err)
	return value
}

// cpuTime returns the user and system time of a process. The kernel counts it in
// hundredths of a second.
func cpuTime(f *fleet, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	f.check(err)
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	ticks := 0
	for _, field := range fields[11:13] {
		n, err := strconv.Atoi(string(field))
		f.check(err)
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}

// report measures the usage during work and reports it per host.
func (f *fleet) report(phase string, work func()) {
	before := f.usage()
	began := time.Now()
	work()
	took := time.Since(began)
	after := f.usage()
	hosts := float64(len(f.hosts))
	for _, h := range f.hosts {
		if h.cmd.Process.Signal(syscall.Signal(0)) != nil {
			f.b.Fatal("a host ended")
		}
	}
	perSecond := func(total float64) float64 { return total / hosts / took.Seconds() }
	f.b.ReportMetric(100*perSecond((after.cpu-before.cpu).Seconds()), phase+"-core-%")
	f.b.ReportMetric(after.resident/hosts/(1<<20), phase+"-MiB")
	f.b.ReportMetric(after.private/hosts/(1<<20), phase+"-private-MiB")
	f.b.ReportMetric(perSecond(after.peer-before.peer), phase+"-peer-B/s")
	f.b.ReportMetric(perSecond(after.otherIO-before.otherIO), phase+"-other-B/s")
}
