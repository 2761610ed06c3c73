package job

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// Guards against a demand of jobs that are over, and against one that only the owner knows.
func TestOpenJobs(t *testing.T) {
	m := NewManager(Config{Host: "a", Incarnation: "1", Log: logr.Discard()})
	version := uint64(0)
	put := func(job, key string, owner OwnerRow) {
		t.Helper()
		value, err := json.Marshal(owner)
		if err != nil {
			t.Fatal(err)
		}
		version++
		m.Changed(platform.VersionedRow{RowID: platform.RowID{Table: TableJobs, Part: job, Key: key}, Value: value, Version: version})
	}
	if open, at := m.OpenJobs(); len(open) > 0 || !at.IsZero() {
		t.Errorf("open jobs before the first read: %v as of %s", open, at)
	}
	put("running", keyOwner, OwnerRow{Host: "other", Model: "m", Total: 85})
	put("running", keyOwner, OwnerRow{Host: "other", Model: "m", Total: 85, Listed: 60})
	put("listed", keyOwner, OwnerRow{Host: "other", Model: "m", Total: 5, Listed: 5})
	put("ended", keyOwner, OwnerRow{Host: "other", Model: "m", Total: 5})
	put("ended", keyEnd, OwnerRow{})
	// The end may arrive before the owner row.
	put("unknown", keyEnd, OwnerRow{})
	asked := time.Now()
	m.Synced(0, asked)
	open, at := m.OpenJobs()
	if len(open) != 1 || open[0] != (OpenJob{ID: "running", Model: "m", Unlisted: 25}) || !at.Equal(asked) {
		t.Errorf("open jobs are %v as of %s", open, at)
	}
}
