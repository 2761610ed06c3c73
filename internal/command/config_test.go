package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A key that two teams list would lock both out once hosts have the configuration. The check
// must say so before that, without printing the key.
func TestConfigCheckOfTeams(t *testing.T) {
	for text, want := range map[string]string{
		`{"version":1,"tenants":[{"name":"a","api_keys":["secret1"]}]}`:                                         "",
		`{"version":1,"tenants":[{"name":"a","api_keys":["secret1"]},{"name":"b","api_keys":["x","secret1"]}]}`: `teams ["a" "b"] list the same key`,
		`{"version":1,"tenants":null}`:           `"tenants" is null`,
		`{"version":1,"tenants":[{"name":"a"}]}`: `team "a" has no keys`,
		`{"version":`:                            "can't be decoded",
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var printed bytes.Buffer
		err := (&configCheckCommand{File: path}).Run(&streams{Out: &printed, Err: &printed})
		if (err == nil) != (want == "") || !strings.Contains(printed.String(), want) || strings.Contains(printed.String(), "secret1") {
			t.Errorf("%s: %v, printed %q", text, err, printed.String())
		}
	}
}

// The exit status must tell a script that the version is too low.
func TestConfigCheckAgainst(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"version":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var printed bytes.Buffer
	err := (&configCheckCommand{File: path, Against: path}).Run(&streams{Out: &printed, Err: &printed})
	if err == nil || printed.String() != "version 1 is not higher than version 1 in force\n" {
		t.Errorf("%v, printed %q", err, printed.String())
	}
}
