package load

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	clockTicksPerSecond = 100 // USER_HZ of Linux
	statUserTicks       = 11  // index in the fields of /proc/PID/stat after the command name
	statSystemTicks     = 12
	statResidentPages   = 21
	statFields          = 22
)

// usage is the CPU time and memory of a process.
type usage struct {
	cpu      time.Duration
	resident int64 // bytes
}

// pid reads the process id from the pid file.
func (p Process) pid() (int, error) {
	text, err := os.ReadFile(p.PIDFile)
	if err != nil {
		return 0, failure.Wrap(err, failure.InvalidSettings, "", "pid file %s of process %s cannot be read", p.PIDFile, p.Name).WithField(sectionProcess + p.Name + ".pid_file")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || pid <= 1 {
		return 0, failure.New(failure.InvalidSettings, "", "pid file %s of process %s does not hold a process id: %q", p.PIDFile, p.Name, text).WithField(sectionProcess + p.Name + ".pid_file")
	}
	return pid, nil
}

// usage reads the CPU time so far and the resident memory. It reports false if the
// process does not run.
func (p Process) usage() (usage, bool) {
	pid, err := p.pid()
	if err != nil {
		return usage{}, false
	}
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return usage{}, false
	}
	// The command name, in parentheses, may contain spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < statFields {
		return usage{}, false
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	ticks := number(statUserTicks) + number(statSystemTicks)
	return usage{
		cpu:      time.Duration(ticks) * time.Second / clockTicksPerSecond,
		resident: number(statResidentPages) * int64(os.Getpagesize()),
	}, true
}

// signal sends a signal, named as in Fault.Signal, to the process.
func (p Process) signal(name string) error {
	pid, err := p.pid()
	if err != nil {
		return err
	}
	signals := map[string]syscall.Signal{
		signalKill: syscall.SIGKILL, signalStop: syscall.SIGSTOP, signalContinue: syscall.SIGCONT, signalTerminate: syscall.SIGTERM,
	}
	if err := syscall.Kill(pid, signals[name]); err != nil {
		return failure.Wrap(err, failure.Internal, "", "signal %s could not be sent to process %s", name, p.Name)
	}
	return nil
}

// Values of Fault.Signal.
const (
	signalKill      = "kill"
	signalStop      = "stop"
	signalContinue  = "continue"
	signalTerminate = "terminate"
)

// ProcessReport is the resource usage of a process during an arm.
type ProcessReport struct {
	Name string `json:"name"`
	// ProcessorMillis is the CPU time, user and system, in milliseconds.
	ProcessorMillis int64 `json:"processor_ms"`
	// ResidentBytes is the resident memory at the end of the arm, in bytes.
	ResidentBytes int64 `json:"resident_bytes"`
	// Ended is true if the process did not run throughout the arm. The other figures
	// are then zero.
	Ended bool `json:"ended"`
}

func usages(processes []Process) map[string]usage {
	all := map[string]usage{}
	for _, p := range processes {
		if u, ok := p.usage(); ok {
			all[p.Name] = u
		}
	}
	return all
}

func processReports(processes []Process, before map[string]usage) []ProcessReport {
	after := usages(processes)
	return lo.Map(processes, func(p Process, _ int) ProcessReport {
		b, was := before[p.Name]
		a, is := after[p.Name]
		if !was || !is || a.cpu < b.cpu {
			return ProcessReport{Name: p.Name, Ended: true}
		}
		return ProcessReport{Name: p.Name, ProcessorMillis: (a.cpu - b.cpu).Milliseconds(), ResidentBytes: a.resident}
	})
}
