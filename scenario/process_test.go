package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

type processesKey struct{}

// process is a started process. exited is closed when it has exited.
type process struct {
	cmd    *exec.Cmd
	log    string
	exited chan struct{}
}

// processes holds the processes of one script, by name.
type processes struct {
	mu     sync.Mutex
	byName map[string]*process
}

func newProcesses() *processes { return &processes{byName: map[string]*process{}} }

func (ps *processes) killAll() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.byName {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

func findProcess(ts *testscript.TestScript, name string) *process {
	ps := ts.Value(processesKey{}).(*processes)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p, ok := ps.byName[name]
	if !ok {
		ts.Fatalf("no process %s", name)
	}
	return p
}

func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME [-wait REGEXP] ARG...")
	}
	name, rest := args[0], args[1:]
	want := ""
	if rest[0] == "-wait" {
		want, rest = rest[1], rest[2:]
	}
	logPath := ts.MkAbs(name + ".log")
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	offset, err := out.Seek(0, 2)
	ts.Check(err)
	cmd := exec.Command("sapphirehatch", rest...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Stdout, cmd.Stderr = out, out
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, log: logPath, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	ps := ts.Value(processesKey{}).(*processes)
	ps.mu.Lock()
	ps.byName[name] = p
	ps.mu.Unlock()
	if want != "" {
		waitForLog(ts, p, offset, regexp.MustCompile(want))
	}
}

func waitForLog(ts *testscript.TestScript, p *process, offset int64, want *regexp.Regexp) {
	deadline := time.Now().Add(startTimeout)
	for {
		text, err := os.ReadFile(p.log)
		ts.Check(err)
		if want.Match(text[offset:]) {
			return
		}
		select {
		case <-p.exited:
			ts.Fatalf("process exited before it logged %q:\n%s", want, text[offset:])
		case <-time.After(pollInterval):
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no log line %q within %v:\n%s", want, startTimeout, text[offset:])
		}
	}
}

func cmdTerminate(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(findProcess(ts, name).cmd.Process.Signal(syscall.SIGTERM))
	}
	for _, name := range args {
		awaitExit(ts, name, 0, stopTimeout)
	}
}

func cmdSigkill(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		p := findProcess(ts, name)
		ts.Check(p.cmd.Process.Kill())
		<-p.exited
	}
}

// sendSignal sends a signal to a process. It fails the script if the process has
// exited.
func sendSignal(ts *testscript.TestScript, name string, sig syscall.Signal) {
	p := findProcess(ts, name)
	if err := p.cmd.Process.Signal(sig); err != nil {
		text, _ := os.ReadFile(p.log)
		ts.Fatalf("process %s cannot be sent %v: %v, it ended as %v:\n%s", name, sig, err, p.cmd.ProcessState, lastLines(string(text), 40))
	}
}

func cmdFreeze(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		freeze(ts, name)
	}
}

// freeze stops a process and waits until all its threads have stopped. On a busy
// machine a thread may run on for a while after the signal.
func freeze(ts *testscript.TestScript, name string) {
	sendSignal(ts, name, syscall.SIGSTOP)
	p := findProcess(ts, name)
	deadline := time.Now().Add(startTimeout)
	for !allThreadsStopped(p.cmd.Process.Pid) {
		if time.Now().After(deadline) {
			ts.Fatalf("process %s did not stop within %v", name, startTimeout)
		}
		time.Sleep(time.Millisecond)
	}
}

// allThreadsStopped reports whether all threads of a process are stopped.
func allThreadsStopped(pid int) bool {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(paths) == 0 {
		return false
	}
	for _, path := range paths {
		stat, err := os.ReadFile(path)
		if err != nil {
			return false
		}
		// The state follows the command name, which is in parentheses.
		if i := strings.LastIndex(string(stat), ") "); i < 0 || stat[i+2] != 'T' {
			return false
		}
	}
	return true
}

func cmdThaw(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		sendSignal(ts, name, syscall.SIGCONT)
	}
}

func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: await NAME CODE DURATION")
	}
	code, err := strconv.Atoi(args[1])
	ts.Check(err)
	wait, err := time.ParseDuration(args[2])
	ts.Check(err)
	awaitExit(ts, args[0], code, wait)
}

func awaitExit(ts *testscript.TestScript, name string, code int, wait time.Duration) {
	p := findProcess(ts, name)
	select {
	case <-p.exited:
	case <-time.After(wait):
		ts.Fatalf("process %s did not exit within %v", name, wait)
	}
	if got := p.cmd.ProcessState.ExitCode(); got != code {
		text, _ := os.ReadFile(p.log)
		ts.Fatalf("process %s exited with code %d, want %d:\n%s", name, got, code, lastLines(string(text), 40))
	}
}

func cmdLogLines(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: loglines NAME REGEXP N")
	}
	want, err := strconv.Atoi(args[2])
	ts.Check(err)
	re := regexp.MustCompile(args[1])
	got := 0
	for _, line := range strings.Split(ts.ReadFile(filepath.Base(args[0]+".log")), "\n") {
		if re.MatchString(line) {
			got++
		}
	}
	if got != want {
		ts.Fatalf("%d lines of %s.log match %q, want %d", got, args[0], re, want)
	}
}

func lastLines(text string, n int) string {
	lines := strings.Split(text, "\n")
	if len(lines) > n {
		lines = append([]string{fmt.Sprintf("(%d lines before)", len(lines)-n)}, lines[len(lines)-n:]...)
	}
	return strings.Join(lines, "\n")
}
