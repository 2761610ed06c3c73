package scenario

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sapphirehatch/sapphirehatch/internal/adminapi"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

var (
	measureHosts   = flag.Int("measure.hosts", 0, "run TestMeasure with so many hosts")
	measureChanges = flag.Int("measure.changes", 40, "changes of the configuration in TestMeasure")
)

// inForceBound is the time within which an accepted version must be in force on every
// host.
const inForceBound = 7 * time.Second

// TestMeasure runs the scripts in measure, which print measurements. It is skipped
// without -measure.hosts.
func TestMeasure(t *testing.T) {
	if *measureHosts == 0 {
		t.Skip("-measure.hosts is not given")
	}
	testscript.Run(t, testscript.Params{
		Dir: "measure",
		Setup: func(env *testscript.Env) error {
			env.Setenv("HOSTS", strconv.Itoa(*measureHosts))
			env.Setenv("CHANGES", strconv.Itoa(*measureChanges))
			return setup(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports":     cmdPorts,
			"token":     cmdToken,
			"start":     cmdStart,
			"terminate": cmdTerminate,
			"fleet":     cmdFleet,
			"changes":   cmdChanges,
		},
	})
}

func fleetName(i int) string { return fmt.Sprint("h", i) }

// cmdFleet starts N hosts in four failure domains.
func cmdFleet(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: fleet N")
	}
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	for i := range n {
		cmdHost(ts, false, []string{fleetName(i), fmt.Sprint("domain-", i%4), "log.level=info"})
	}
	for i := range n {
		cmdStart(ts, false, []string{fleetName(i), "-wait", "administration API listens", "serve", "--settings", fleetName(i) + ".ini"})
	}
}

// cmdChanges applies configuration changes through the hosts round-robin. From the
// hosts' logs it measures the time from the acceptance of each change until it is in
// force on the last host, and prints median, 95th percentile and maximum. With
// "outage", the store is down from right after each acceptance until then.
func cmdChanges(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: changes HOSTS COUNT [outage]")
	}
	hosts, err := strconv.Atoi(args[0])
	ts.Check(err)
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	outage := len(args) > 2
	base := currentVersion(ts)
	last := make([]time.Duration, 0, count)
	for i := range count {
		accepted := applyChange(ts, i%hosts, base+uint64(i))
		if outage {
			setPlatformDown(ts, true)
		}
		last = append(last, lastInForce(ts, hosts, base+uint64(i)+1).Sub(accepted))
		if outage {
			setPlatformDown(ts, false)
		}
		// Random pauses spread the changes over all phases of the hosts' intervals.
		time.Sleep(300*time.Millisecond + rand.N(1500*time.Millisecond))
	}
	slices.Sort(last)
	late := 0
	for _, d := range last {
		if d > inForceBound {
			late++
		}
	}
	line := fmt.Sprintf("hosts=%d changes=%d outage=%t median=%v p95=%v worst=%v above_7s=%d",
		hosts, count, outage, last[count/2], last[count*95/100], last[count-1], late)
	_, _ = fmt.Fprintln(ts.Stdout(), line)
	_, _ = fmt.Fprintln(os.Stderr, line)
}

func currentVersion(ts *testscript.TestScript) uint64 {
	c := call{method: http.MethodGet, url: "http://" + ts.Getenv("H0_ADMIN") + adminapi.PathReady}
	text, err := c.do()
	ts.Check(err)
	groups := regexp.MustCompile(`"config_version":([0-9]+)`).FindStringSubmatch(text)
	version, err := strconv.ParseUint(groups[1], 10, 64)
	ts.Check(err)
	return version
}

// applyChange applies a new document through one host and returns the time of its
// acceptance.
func applyChange(ts *testscript.TestScript, host int, base uint64) time.Time {
	body, err := json.Marshal(adminapi.ApplyRequest{
		Base: base, ChangeID: fmt.Sprint("change-", base+1),
		Text: fmt.Sprintf("[deployment]\nname = measure\nqueue_limit = %d\n", base%1000+1),
	})
	ts.Check(err)
	name := fleetName(host)
	c := call{
		method: http.MethodPost, url: "http://" + ts.Getenv(envName(name)+"_ADMIN") + adminapi.PathConfig, body: string(body), status: http.StatusOK,
		header: http.Header{"Authorization": {"Bearer " + ts.Getenv("OPERATOR")}},
	}
	ts.Check(untilMatch(c, time.Now().Add(20*time.Second)))
	return loggedAt(ts, name, fmt.Sprintf("configuration change accepted.* version=%d ", base+1))
}

// lastInForce waits until a version is in force on every host and returns the time at
// which the last host logged it.
func lastInForce(ts *testscript.TestScript, hosts int, version uint64) time.Time {
	var last time.Time
	for i := range hosts {
		at := loggedAt(ts, fleetName(i), fmt.Sprintf("configuration in force.* version=%d ", version))
		if at.After(last) {
			last = at
		}
	}
	return last
}

// loggedAt waits for a log line of a host and returns the time stamp of the line.
func loggedAt(ts *testscript.TestScript, name, pattern string) time.Time {
	re := regexp.MustCompile(`time=(\S+) .*` + pattern)
	for deadline := time.Now().Add(4 * inForceBound); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if groups := re.FindStringSubmatch(ts.ReadFile(name + ".log")); groups != nil {
			at, err := time.Parse(time.RFC3339Nano, groups[1])
			ts.Check(err)
			return at
		}
	}
	ts.Fatalf("%s.log has no line %q:\n%s", name, pattern, lastLines(strings.TrimSpace(ts.ReadFile(name+".log")), 5))
	return time.Time{}
}

func setPlatformDown(ts *testscript.TestScript, on bool) {
	state := map[bool]string{true: "on", false: "off"}[on]
	cmdFault(ts, false, []string{ts.Getenv("PLATFORM_CTL"), string(standinapi.FaultDown), state})
}
