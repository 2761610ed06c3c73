package scenario

import (
	"flag"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sapphirehatch/sapphirehatch/internal/command"
)

// parallelScripts is the number of scripts that run at once. Each starts 6 to 30
// processes.
const parallelScripts = 3

var updateGolden = flag.Bool("update", false, "rewrite the golden parts of the scripts")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sapphirehatch": func() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScenarios(t *testing.T) {
	params := scriptParams()
	params.Dir = "testdata"
	testscript.RunT(limitedT{t, make(chan struct{}, parallelScripts)}, params)
}

// scriptParams returns the commands and the setup that all scripts share.
func scriptParams() testscript.Params {
	return testscript.Params{
		UpdateScripts: *updateGolden,
		Setup:         setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports":     cmdPorts,
			"host":      cmdHost,
			"start":     cmdStart,
			"terminate": cmdTerminate,
			"sigkill":   cmdSigkill,
			"freeze":    cmdFreeze,
			"thaw":      cmdThaw,
			"await":     cmdAwait,
			"fault":     cmdFault,
			"http":      cmdHTTP,
			"until":     cmdUntil,
			"never":     cmdNever,
			"loglines":  cmdLogLines,
			"runs":      cmdRuns,
			"alive":     cmdAlive,
			"normalise": cmdNormalise,
			"token":     cmdToken,
			"expand":    cmdExpand,
			"every":     cmdEvery,
			"rising":    cmdRising,
			"mixfaults": cmdMixFaults,
			"seed":      cmdSeed,
		},
	}
}

func setup(env *testscript.Env) error {
	ps := newProcesses()
	env.Values[processesKey{}] = ps
	env.Defer(ps.killAll)
	return nil
}

// limitedT is a testscript.T that limits the number of scripts that run at once.
type limitedT struct {
	*testing.T
	slots chan struct{}
}

func (t limitedT) Verbose() bool { return testing.Verbose() }

func (t limitedT) Run(name string, f func(testscript.T)) {
	t.T.Run(name, func(sub *testing.T) { f(limitedT{sub, t.slots}) })
}

func (t limitedT) Parallel() {
	t.T.Parallel()
	t.slots <- struct{}{}
	t.Cleanup(func() { <-t.slots })
}
