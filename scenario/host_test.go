package scenario

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"gopkg.in/ini.v1"

	"github.com/sapphirehatch/sapphirehatch/internal/standin/ports"
)

// Each test process takes its own range of ports, by process id. They end below 30000, where those
// of platform/untrusted begin.
const (
	firstPort   = 15000
	portsPerRun = 400
	portRuns    = 37
)

var hostPorts = ports.NewRange(firstPort+os.Getpid()%portRuns*portsPerRun, portsPerRun, 0)

// freePort returns a 127.0.0.1:port that is free for TCP and UDP.
func freePort(ts *testscript.TestScript) string {
	address, err := hostPorts.FreeAddress()
	ts.Check(err)
	return address
}

func cmdPorts(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Setenv(name, freePort(ts))
	}
}

func envName(name string) string {
	return strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// cmdHost writes the settings of a host and its TLS keys, signed by the script's
// certificate authority.
func cmdHost(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: host NAME DOMAIN [section.key=value]...")
	}
	name, domain := args[0], args[1]
	file := ini.Empty()
	set := func(section, key, value string) { file.Section(section).Key(key).SetValue(value) }
	set("host", "id", name)
	set("host", "failure_domain", domain)
	set("host", "region", "here")
	for _, role := range []string{"caller", "admin", "peer"} {
		address := freePort(ts)
		set("host", role+"_address", address)
		ts.Setenv(envName(name)+"_"+strings.ToUpper(role), address)
	}
	if seeds := ts.Getenv("SEEDS"); seeds != "" {
		set("host", "seed_peers", seeds)
	}
	ts.Setenv("SEEDS", strings.TrimPrefix(ts.Getenv("SEEDS")+","+ts.Getenv(envName(name)+"_PEER"), ","))
	set("platform", "address", ts.Getenv("PLATFORM"))
	set("access", "operator_token_sha256", ts.Getenv("OPERATOR_SHA256"))
	set("tls", "ca", ts.MkAbs("keys/ca.crt"))
	set("tls", "certificate", ts.MkAbs("keys/"+name+".crt"))
	set("tls", "key", ts.MkAbs("keys/"+name+".key"))
	set("log", "level", "debug")
	for _, arg := range args[2:] {
		path, value, _ := strings.Cut(arg, "=")
		section, key, _ := strings.Cut(path, ".")
		set(section, key, value)
	}
	ts.Check(file.SaveTo(ts.MkAbs(name + ".ini")))
	ts.Check(ts.Exec("sapphirehatch", "keys", "--out", ts.MkAbs("keys"), "--host", name))
}

func cmdToken(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		var secret [24]byte
		_, err := rand.Read(secret[:])
		ts.Check(err)
		token := hex.EncodeToString(secret[:])
		sum := sha256.Sum256([]byte(token))
		ts.Setenv(name, token)
		ts.Setenv(name+"_SHA256", hex.EncodeToString(sum[:]))
	}
}

// cmdExpand copies a file, replacing ${NAME} by the script's variables.
func cmdExpand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: expand IN OUT")
	}
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}
