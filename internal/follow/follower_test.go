package follow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
)

// tableCopy is a sink that keeps a copy of the table and checks that the version of a
// row never decreases.
type tableCopy struct {
	t        *testing.T
	rows     map[platform.RowID]string
	versions map[platform.RowID]uint64
	synced   int
}

func (m *tableCopy) Changed(row platform.VersionedRow) {
	if row.Version < m.versions[row.RowID] {
		m.t.Errorf("row %v changed from version %d back to %d", row.RowID, m.versions[row.RowID], row.Version)
	}
	m.versions[row.RowID] = row.Version
	if row.Deleted {
		delete(m.rows, row.RowID)
		return
	}
	m.rows[row.RowID] = string(row.Value)
}

func (m *tableCopy) Synced(time.Duration, time.Time) { m.synced++ }

// withFollower runs a test while a follower is running.
func withFollower(t *testing.T, config Config, test func(rows *platformtest.Rows, client *platformtest.RowsClient, m *tableCopy)) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		client := rows.Client()
		m := &tableCopy{t: t, rows: map[platform.RowID]string{}, versions: map[platform.RowID]uint64{}}
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		follower := New(config, client, m, logr.Discard())
		done.Go(func() { _ = follower.Run(ctx) })
		time.Sleep(time.Second)
		test(rows, client, m)
		cancel()
		done.Wait()
	})
}

func id(part, key string) platform.RowID {
	return platform.RowID{Table: "t", Part: part, Key: key}
}

func TestCopyFollowsTheTable(t *testing.T) {
	withFollower(t, Config{Table: "t", AllParts: true, LongPollWait: time.Second}, func(rows *platformtest.Rows, _ *platformtest.RowsClient, m *tableCopy) {
		rows.Put(id("p", "a"), []byte("1"))
		rows.Put(id("q", "a"), []byte("2"))
		rows.Put(platform.RowID{Table: "other", Key: "a"}, []byte("3"))
		time.Sleep(2 * time.Second)
		rows.Put(id("p", "a"), []byte("4"))
		rows.Delete(id("q", "a"))
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff(map[platform.RowID]string{id("p", "a"): "4"}, m.rows); diff != "" {
			t.Error(diff)
		}
	})
}

func TestTableIsListedAfterLostHistory(t *testing.T) {
	withFollower(t, Config{Table: "t", LongPollWait: time.Second}, func(rows *platformtest.Rows, client *platformtest.RowsClient, m *tableCopy) {
		for i := range 700 {
			rows.Put(id("", fmt.Sprintf("%04d", i)), []byte("old"))
		}
		time.Sleep(2 * time.Second)
		client.SetDown(true)
		time.Sleep(time.Second)
		rows.Put(id("", "0001"), []byte("new"))
		rows.Delete(id("", "0002"))
		rows.Put(id("", "9999"), []byte("new"))
		rows.DropHistory()
		client.SetDown(false)
		time.Sleep(2 * time.Second)
		if len(m.rows) != 700 || m.rows[id("", "0001")] != "new" || m.rows[id("", "9999")] != "new" {
			t.Errorf("%d rows, %q, %q", len(m.rows), m.rows[id("", "0001")], m.rows[id("", "9999")])
		}
		if _, ok := m.rows[id("", "0002")]; ok {
			t.Error("a row deleted during the outage is still in the copy")
		}
	})
}

func TestReturnOfTheStoreIsSeenWithinASecond(t *testing.T) {
	withFollower(t, Config{Table: "t", LongPollWait: time.Second}, func(rows *platformtest.Rows, client *platformtest.RowsClient, m *tableCopy) {
		client.SetDown(true)
		time.Sleep(10 * time.Second)
		rows.Put(id("", "a"), []byte("1"))
		client.SetDown(false)
		time.Sleep(time.Second)
		if m.rows[id("", "a")] != "1" {
			t.Error("a change is not in the copy one second after the store's return")
		}
	})
}

// Load pattern: the store drops its history while 90 hosts follow a table of 100
// parts. All hosts list the table at once. That is more than the store takes in a
// second, and it refuses all further calls.
func TestListsOfManyHostsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, parts, readsPerSecond = 90, 100, 3000
		rows := platformtest.NewRows()
		for i := range parts {
			rows.Put(id(fmt.Sprintf("part-%03d", i), "a"), []byte("old"))
		}
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		copies := make([]*tableCopy, hosts)
		for i := range copies {
			m := &tableCopy{t: t, rows: map[platform.RowID]string{}, versions: map[platform.RowID]uint64{}}
			copies[i] = m
			follower := New(Config{Table: "t", AllParts: true, MinInterval: 100 * time.Millisecond}, rows.Client(), m, logr.Discard())
			done.Go(func() { _ = follower.Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		rows.SetReadsPerSecond(readsPerSecond)
		rows.Put(id("part-007", "a"), []byte("new"))
		rows.DropHistory()
		// Each host needs about a hundred calls, which takes the store at least three seconds.
		time.Sleep(9 * time.Second)
		cancel()
		done.Wait()
		behind := 0
		for _, m := range copies {
			if m.rows[id("part-007", "a")] != "new" || len(m.rows) != parts {
				behind++
			}
		}
		if behind > 0 {
			t.Errorf("%d of %d hosts have an incomplete copy", behind, hosts)
		}
	})
}

func TestFinalPartsAreNotReadAgain(t *testing.T) {
	isFinal := func(part string) bool { return part != "open" }
	withFollower(t, Config{Table: "t", AllParts: true, IsFinal: isFinal, LongPollWait: time.Second}, func(rows *platformtest.Rows, client *platformtest.RowsClient, m *tableCopy) {
		for i := range 50 {
			rows.Put(id(fmt.Sprintf("part-%03d", i), "a"), []byte("old"))
		}
		rows.Put(id("open", "a"), []byte("old"))
		time.Sleep(2 * time.Second)
		client.SetDown(true)
		time.Sleep(time.Second)
		rows.Put(id("open", "a"), []byte("new"))
		rows.Put(id("unknown", "a"), []byte("new"))
		rows.Delete(id("part-007", "a"))
		rows.DropHistory()
		before := client.Reads()
		client.SetDown(false)
		time.Sleep(2 * time.Second)
		if got := client.Reads() - before; got > 5 {
			t.Errorf("%d reads", got)
		}
		if _, ok := m.rows[id("part-007", "a")]; ok || len(m.rows) != 51 || m.rows[id("open", "a")] != "new" || m.rows[id("unknown", "a")] != "new" {
			t.Errorf("%d rows, %v", len(m.rows), m.rows)
		}
	})
}

func TestChangesOnlyTableIsNotListed(t *testing.T) {
	withFollower(t, Config{Table: "t", AllParts: true, ChangesOnly: true, LongPollWait: time.Second}, func(rows *platformtest.Rows, client *platformtest.RowsClient, m *tableCopy) {
		for i := range 50 {
			rows.Put(id(fmt.Sprintf("part-%03d", i), "a"), []byte("old"))
		}
		time.Sleep(2 * time.Second)
		before := client.Reads()
		rows.DropHistory()
		time.Sleep(2 * time.Second)
		rows.Put(id("part-007", "a"), []byte("new"))
		time.Sleep(2 * time.Second)
		if got := client.Reads() - before; got > 1 || m.rows[id("part-007", "a")] != "new" || len(m.rows) != 50 {
			t.Errorf("%d reads, %d rows", got, len(m.rows))
		}
	})
}
