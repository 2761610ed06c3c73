package scenario

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

const (
	shortestFault = 300 * time.Millisecond
	longestFault  = 5 * time.Second
	shortestPause = 100 * time.Millisecond
	longestPause  = 1500 * time.Millisecond
	faultDelay    = 900 // milliseconds
	cutAfter      = 40  // bytes
)

// mixer draws faults from a seed and applies them, several at a time.
type mixer struct {
	ts     *testscript.TestScript
	random *rand.Rand
	// hosts are process names; the first is never touched, so that callers always have one host.
	hosts []string
	// controls are the control addresses by kind of stand-in.
	controls map[string][]string
	ends     []ending
}

// ending undoes a fault.
type ending struct {
	at   time.Time
	what string
	undo func()
}

// struck are the kinds of processes that faults strike, each as often as the others.
var struck = []string{"hosts", "platform", "services", "engines"}

var faultsOf = map[string][]standinapi.FaultKind{
	"platform": {standinapi.FaultDown, standinapi.FaultSlow, standinapi.FaultReplyLost, standinapi.FaultFreeze, standinapi.FaultSilentConnections},
	"services": {
		standinapi.FaultDown, standinapi.FaultSlow, standinapi.FaultReplyLost, standinapi.FaultFreeze, standinapi.FaultSilentConnections,
		standinapi.FaultTruncateResponse, standinapi.FaultWrongRequestID, standinapi.FaultResetConnection, standinapi.FaultLeaving,
	},
	"engines": {
		standinapi.FaultDown, standinapi.FaultSlow, standinapi.FaultFreeze, standinapi.FaultSilentConnections, standinapi.FaultTruncateResponse,
		standinapi.FaultResetConnection, standinapi.FaultWeightLoadFailure, standinapi.FaultIgnoreFencing, standinapi.FaultLeaving,
	},
}

// cmdMixFaults applies random faults for a while and then undoes them all.
func cmdMixFaults(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: mixfaults SEED DURATION hosts=NAME,... [platform|services|engines=CONTROL,...]")
	}
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	duration, err := time.ParseDuration(args[1])
	ts.Check(err)
	m := &mixer{ts: ts, random: rand.New(rand.NewPCG(seed, 0)), controls: map[string][]string{}}
	for _, arg := range args[2:] {
		kind, names, _ := strings.Cut(arg, "=")
		if kind == "hosts" {
			m.hosts = strings.Split(names, ",")
			continue
		}
		m.controls[kind] = strings.Split(names, ",")
	}
	ts.Logf("seed %d", seed)
	m.run(duration)
}

func (m *mixer) run(duration time.Duration) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		m.undoDue(time.Now())
		m.strike()
		time.Sleep(m.between(shortestPause, longestPause))
	}
	m.undoDue(time.Now().Add(longestFault))
}

func (m *mixer) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)))
}

func (m *mixer) undoDue(now time.Time) {
	var later []ending
	for _, e := range m.ends {
		if e.at.After(now) {
			later = append(later, e)
			continue
		}
		m.ts.Logf("end   %s", e.what)
		e.undo()
	}
	m.ends = later
}

// strike draws one fault. Draws do not depend on the time, so that a seed names one sequence.
func (m *mixer) strike() {
	lasts := m.between(shortestFault, longestFault)
	kind := struck[m.random.IntN(len(struck))]
	strike := m.strikeHost
	if kind != "hosts" {
		strike = func() (string, func()) { return m.strikeStandin(kind) }
	}
	what, undo := strike()
	if what == "" {
		return
	}
	m.ts.Logf("start %s for %v", what, lasts.Round(time.Millisecond))
	m.ends = append(m.ends, ending{at: time.Now().Add(lasts), what: what, undo: undo})
}

func (m *mixer) active(what string) bool {
	for _, e := range m.ends {
		if strings.HasSuffix(e.what, what) {
			return true
		}
	}
	return false
}

// strikeHost freezes or kills a host that no other fault has.
func (m *mixer) strikeHost() (string, func()) {
	name := m.hosts[1+m.random.IntN(len(m.hosts)-1)]
	kill := m.random.IntN(2) == 0
	if m.active("host " + name) {
		return "", nil
	}
	if !kill {
		freeze(m.ts, name)
		return "freeze of host " + name, func() { signal(m.ts, name, syscall.SIGCONT) }
	}
	p := find(m.ts, name)
	m.ts.Check(p.cmd.Process.Kill())
	<-p.exited
	return "kill of host " + name, func() { cmdStart(m.ts, false, []string{name, "serve", "--settings", name + ".ini"}) }
}

func (m *mixer) strikeStandin(kind string) (string, func()) {
	controls := m.controls[kind]
	kinds := faultsOf[kind]
	control := controls[m.random.IntN(len(controls))]
	fault := standinapi.Fault{Kind: kinds[m.random.IntN(len(kinds))], On: true, DelayMillis: faultDelay, Bytes: cutAfter}
	what := string(fault.Kind) + " of " + kind + " " + control
	if m.active(what) {
		return "", nil
	}
	m.post(control, fault)
	fault.On = false
	return what, func() { m.post(control, fault) }
}

func (m *mixer) post(control string, fault standinapi.Fault) {
	body, err := json.Marshal(fault)
	m.ts.Check(err)
	c := call{method: http.MethodPost, url: "http://" + control + standinapi.PathFault, body: string(body), status: http.StatusOK}
	_, err = c.do()
	m.ts.Check(err)
}

// cmdSeed sets $SEED to the variable SCENARIO_SEED of the test process, or else to the given seed.
func cmdSeed(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: seed DEFAULT")
	}
	seed := args[0]
	if chosen := os.Getenv("SCENARIO_SEED"); chosen != "" {
		seed = chosen
	}
	ts.Setenv("SEED", seed)
}
