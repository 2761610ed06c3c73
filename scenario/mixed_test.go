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
	shortestFault      = 300 * time.Millisecond
	longestFault       = 5 * time.Second
	shortestPause      = 100 * time.Millisecond
	longestPause       = 1500 * time.Millisecond
	faultDelayMillis   = 900
	truncateAfterBytes = 40
)

// faultInjector injects random faults, several at a time. The seed determines the
// sequence.
type faultInjector struct {
	ts     *testscript.TestScript
	random *rand.Rand
	// hosts are process names. The first host gets no fault: callers always have one
	// host that works.
	hosts []string
	// controls are the control addresses, by kind of stand-in.
	controls map[string][]string
	active   []activeFault
}

// activeFault is a fault that is undone at a set time.
type activeFault struct {
	at   time.Time
	what string
	undo func()
}

// targetKinds are the kinds of processes that get faults, with equal probability.
var targetKinds = []string{"hosts", "platform", "services", "engines"}

var faultsByKind = map[string][]standinapi.FaultKind{
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

// cmdMixFaults injects random faults for a duration and then undoes them all.
func cmdMixFaults(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: mixfaults SEED DURATION hosts=NAME,... [platform|services|engines=CONTROL,...]")
	}
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	duration, err := time.ParseDuration(args[1])
	ts.Check(err)
	m := &faultInjector{ts: ts, random: rand.New(rand.NewPCG(seed, 0)), controls: map[string][]string{}}
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

func (m *faultInjector) run(duration time.Duration) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		m.endExpired(time.Now())
		m.startFault()
		time.Sleep(m.randomDuration(shortestPause, longestPause))
	}
	m.endExpired(time.Now().Add(longestFault))
}

func (m *faultInjector) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)))
}

func (m *faultInjector) endExpired(now time.Time) {
	var later []activeFault
	for _, e := range m.active {
		if e.at.After(now) {
			later = append(later, e)
			continue
		}
		m.ts.Logf("end   %s", e.what)
		e.undo()
	}
	m.active = later
}

// startFault draws and starts one fault. Draws do not depend on the time: a seed
// always gives the same sequence.
func (m *faultInjector) startFault() {
	lasts := m.randomDuration(shortestFault, longestFault)
	kind := targetKinds[m.random.IntN(len(targetKinds))]
	start := m.startHostFault
	if kind != "hosts" {
		start = func() (string, func()) { return m.startStandinFault(kind) }
	}
	what, undo := start()
	if what == "" {
		return
	}
	m.ts.Logf("start %s for %v", what, lasts.Round(time.Millisecond))
	m.active = append(m.active, activeFault{at: time.Now().Add(lasts), what: what, undo: undo})
}

func (m *faultInjector) isActive(what string) bool {
	for _, e := range m.active {
		if strings.HasSuffix(e.what, what) {
			return true
		}
	}
	return false
}

// startHostFault freezes or kills a host that has no fault.
func (m *faultInjector) startHostFault() (string, func()) {
	name := m.hosts[1+m.random.IntN(len(m.hosts)-1)]
	kill := m.random.IntN(2) == 0
	if m.isActive("host " + name) {
		return "", nil
	}
	if !kill {
		freeze(m.ts, name)
		return "freeze of host " + name, func() { sendSignal(m.ts, name, syscall.SIGCONT) }
	}
	p := findProcess(m.ts, name)
	m.ts.Check(p.cmd.Process.Kill())
	<-p.exited
	return "kill of host " + name, func() { cmdStart(m.ts, false, []string{name, "serve", "--settings", name + ".ini"}) }
}

func (m *faultInjector) startStandinFault(kind string) (string, func()) {
	controls := m.controls[kind]
	kinds := faultsByKind[kind]
	control := controls[m.random.IntN(len(controls))]
	fault := standinapi.Fault{Kind: kinds[m.random.IntN(len(kinds))], On: true, DelayMillis: faultDelayMillis, Bytes: truncateAfterBytes}
	what := string(fault.Kind) + " of " + kind + " " + control
	if m.isActive(what) {
		return "", nil
	}
	m.post(control, fault)
	fault.On = false
	return what, func() { m.post(control, fault) }
}

func (m *faultInjector) post(control string, fault standinapi.Fault) {
	body, err := json.Marshal(fault)
	m.ts.Check(err)
	c := call{method: http.MethodPost, url: "http://" + control + standinapi.PathFault, body: string(body), status: http.StatusOK}
	_, err = c.do()
	m.ts.Check(err)
}

// cmdSeed sets $SEED to the environment variable SCENARIO_SEED, or else to the given
// seed.
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
