// Command lab-3 plays the cases of a review against hosts that run as separate processes. It
// exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/ports"
	"github.com/sapphirehatch/sapphirehatch/platform/standin"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// lab is a small deployment: a store, engines, a plain service and hosts.
type lab struct {
	binary, dir string
	trouble     bool
	record      *os.File
	began       time.Time
	ctx         context.Context
	end         context.CancelFunc

	rows     *platformtest.Rows
	store    *rowStore
	engines  []*standin.Replica
	services []*standin.Replica
	machines []*machine
	client   *http.Client

	mu sync.Mutex
}

// cases holds the cases by name.
var cases = map[string]func(*lab) (int, error){
	"failing":  failing,
	"slowread": slowReaders,
	"deadly":   deadlyLeaving,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and writes record.txt into a folder.
func play(name, folder string) int {
	l, err := newLab(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer l.close()
	code, err := cases[name](l)
	if err != nil {
		l.note("the case couldn't run: %v", err)
		return couldNot
	}
	l.note("exit code %d", code)
	return code
}

func newLab(folder string) (*lab, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab-3-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/sapphirehatch")
	if err != nil {
		return nil, err
	}
	l := &lab{
		binary: binary, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now(),
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	l.ctx, l.end = context.WithTimeout(context.Background(), 110*time.Second)
	store := standin.NewStore()
	l.rows = store.Rows
	if l.store, err = startStore(store.Rows); err != nil {
		return nil, err
	}
	l.note("trouble: %t", l.trouble)
	return l, l.startReplicas(store)
}

// startReplicas starts the engines and the replicas of the plain service.
func (l *lab) startReplicas(store *standin.Store) error {
	for i := range 9 {
		engine, err := store.NewEngine(fmt.Sprintf("engine-%d", i+1), standin.EngineService, 8, models...)
		if err != nil {
			return err
		}
		engine.Events, engine.Pace = 20, 25*time.Millisecond
		l.engines = append(l.engines, engine)
	}
	for i := range 3 {
		service, err := store.NewService(fmt.Sprintf("service-%d", i+1), standin.PlainService, 6)
		if err != nil {
			return err
		}
		l.services = append(l.services, service)
	}
	l.rows.Put(platform.RowID{Table: "op", Key: "config"}, []byte(configuration))
	return nil
}

// startMachines starts a number of hosts and waits until they are ready.
func (l *lab) startMachines(n int) error {
	free := ports.NewRange(20000, 12000, rand.IntN(12000))
	for i := range n {
		m, err := newMachine(l, fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("z%d", i+1), free)
		if err != nil {
			return err
		}
		l.machines = append(l.machines, m)
		go m.run()
	}
	for _, m := range l.machines {
		if !l.waitReady(m) {
			return fmt.Errorf("host %s isn't ready", m.id)
		}
	}
	l.note("%d hosts are ready", n)
	l.sleep(2 * time.Second)
	return nil
}

// waitReady waits until a host is ready. It returns false after 20 s.
func (l *lab) waitReady(m *machine) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && !l.ended(); l.sleep(50 * time.Millisecond) {
		resp, err := l.client.Get("http://" + m.addr["ready"] + "/sapphirehatch/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) ended() bool { return l.ctx.Err() != nil }

func (l *lab) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-l.ctx.Done():
	}
}

// close ends all processes of the case.
func (l *lab) close() {
	l.end()
	for _, m := range l.machines {
		m.stop()
	}
	if os.Getenv("LAB_KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
	_ = l.record.Close()
}
