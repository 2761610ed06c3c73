package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const validRowsText = `[host]
id = a
failure_domain = z1
caller_address = 10.0.0.1:80
ready_address = 10.0.0.1:81
entry_address = 10.0.0.1:82
[platform]
adapter = rows
address = 10.0.0.9:90
[timing]
lease_term = 3000ms
stop_grace = 8s
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadRows(t *testing.T) {
	path := writeFile(t, validRowsText)
	if !UsesRows(path) {
		t.Error("the adapter is not recognised")
	}
	s, err := LoadRows(path)
	if err != nil {
		t.Fatal(err)
	}
	if s.Timing.LeaseTerm != 3*time.Second || s.Timing.EntryTTL != 2*time.Second || s.Host.ID != "a" {
		t.Errorf("settings are %+v", s)
	}
}

func TestLoadRowsNamesBadSettings(t *testing.T) {
	for _, test := range []struct{ old, new, field string }{
		{"id = a\n", "", "host.id"},
		{"10.0.0.9:90", "nowhere", "platform.address"},
		{"3000ms", "soon", "timing.lease_term"},
		{"[timing]", "[timing]\nunknown = 1", "timing.unknown"},
		{"10.0.0.1:81", "10.0.0.1", "host.ready_address"},
		{"id = a\n", "id = a\npeer_address = nowhere\n", "host.peer_address"},
		{"[timing]", "[timing]\nmax_configuration_age = 2s", "timing.max_configuration_age"},
		{"[timing]", "[timing]\nmax_configuration_age = -5s", "timing.max_configuration_age"},
		{"[timing]", "[control]\naddress = nowhere\n[timing]", "control.address"},
		{"[timing]", "[control]\nwindow = -5s\n[timing]", "control.window"},
		{"id = a\n", "id = a\npeer_address = 10.0.0.1:80\n", "host.peer_address"},
	} {
		_, err := LoadRows(writeFile(t, strings.Replace(validRowsText, test.old, test.new, 1)))
		if e := failure.As(err); err == nil || e.Kind != failure.InvalidSettings || e.Field != test.field {
			t.Errorf("%q: %v", test.new, err)
		}
	}
	if UsesRows(filepath.Join(t.TempDir(), "absent")) || UsesRows(writeFile(t, "[platform]\naddress = 10.0.0.1:1\n")) {
		t.Error("a file without the adapter uses it")
	}
}

// A deployment without a control API must not perform its duties.
func TestControlIsOffWithoutAnAddress(t *testing.T) {
	s, err := LoadRows(writeFile(t, validRowsText+"[control]\nduties = usage_report,autoscale\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Control.Has(DutyUsage) || s.Control.Has(DutyScaling) {
		t.Error("a duty is on without an address")
	}
	s, err = LoadRows(writeFile(t, validRowsText+"[control]\naddress = 10.0.0.9:91\nduties = usage_report,other\nwindow = 5s\nreport_late = 10s\nfencing_enforced = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	if !s.Control.Has(DutyUsage) || s.Control.Has(DutyScaling) || !s.Control.FencingEnforced || s.Control.Window != 5*time.Second {
		t.Errorf("settings are %+v", s.Control)
	}
}
