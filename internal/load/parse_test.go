package load

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const smallExperiment = `
[experiment]
name = small
hosts = 127.0.0.1:7001,127.0.0.1:7002
platform = 127.0.0.1:7000
duration = 3s

[upstream.s1]
kind = service
control = 127.0.0.1:7003
address = 127.0.0.1:7004
pool = booking

[process.h1]
pid_file = h1.pid

[caller.app]
tenant = roegkappe
kind = booking
rate = 20

[trainer.draught]
steps = 2

[fault.lost]
at = 1s
target = s1
kind = reply-lost

[arm.home]
caller.app.key = home
experiment.duration = 5s
`

func TestParseReadsAnExperiment(t *testing.T) {
	e, err := Parse([]byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	if e.Callers[0].Rate != 20 || e.Callers[0].Key != CallerKey || e.Settings.Duration != 3*time.Second {
		t.Errorf("base: %+v", e.Callers[0])
	}
	arm := e.Arms[0].Experiment
	if arm.Callers[0].Key != HomeKey || arm.Settings.Duration != 5*time.Second || arm.Callers[0].Rate != 20 {
		t.Errorf("arm: %+v", arm.Callers[0])
	}
}

func TestParseExpandsVariables(t *testing.T) {
	t.Setenv("SAPPHIREHATCH_TEST_TOKEN", "secret")
	e, err := Parse([]byte(strings.Replace(smallExperiment, "rate = 20", "token = ${SAPPHIREHATCH_TEST_TOKEN}", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if got := e.Callers[0].Token; got != "secret" {
		t.Errorf("token %q", got)
	}
}

func TestParseErrorsNameField(t *testing.T) {
	cases := []struct{ name, from, to, field string }{
		{"unknown key", "rate = 20", "speed = 20", "caller.app.speed"},
		{"wrong type", "rate = 20", "rate = fast", "caller.app"},
		{"unknown choice", "kind = booking", "kind = letter", "caller.app.kind"},
		{"negative", "rate = 20", "rate = -1", "caller.app.rate"},
		{"no unit", "duration = 3s", "duration = 3", "experiment.duration"},
		{"missing name", "name = small", "", "experiment.name"},
		{"no address", "control = 127.0.0.1:7003", "control = here", "upstream.s1.control"},
		{"unknown section", "[process.h1]", "[processes.h1]", "processes.h1"},
		{"unknown fault", "kind = reply-lost", "kind = melt", "fault.lost.kind"},
		{"unknown target", "target = s1", "target = s2", "fault.lost.target"},
		{"signal without process", "kind = reply-lost", "kind = signal\nsignal = kill", "fault.lost.target"},
		{"signal without name", "kind = reply-lost", "kind = signal", "fault.lost.signal"},
		{"variable that is not set", "rate = 20", "token = ${SAPPHIREHATCH_NO_SUCH_VARIABLE}", "caller.app.token"},
		{"arm with an unknown section", "caller.app.key", "caller.web.key", "arm.home.caller.web.key"},
		{"arm with a wrong value", "key = home", "key = house", "caller.app.key"},
		{"direct without pool", "kind = booking", "via = direct", "caller.app.pool"},
		{"direct to an empty pool", "kind = booking", "via = direct\npool = x", "caller.app.pool"},
		{"trainer without platform", "platform = 127.0.0.1:7000", "", "trainer.draught"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(smallExperiment, c.from, c.to, 1)))
			var e *failure.Error
			if !errors.As(err, &e) || e.Kind != failure.InvalidSettings || e.Field != c.field {
				t.Errorf("error %v with field %q, want field %q", err, failure.As(err).Field, c.field)
			}
		})
	}
}
