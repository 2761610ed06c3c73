package job

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

// cancelTime is how long after the acknowledged end of a job its rollouts may still begin.
const cancelTime = 3 * time.Second

// startsOfJob returns the number of runs of a job's rollouts that began.
func (c *cluster) startsOfJob(id string) int {
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	n := 0
	for _, run := range c.engines.runs {
		if strings.HasPrefix(run, id+".") {
			n++
		}
	}
	return n
}

// checkEnds ends a job as a host does that does not take it over, and checks that nothing of
// it begins later than cancelTime after that.
func (c *cluster) checkEnds(id string) {
	c.t.Helper()
	if err := (store{c.rows.Client()}).end(context.Background(), id, 0); err != nil {
		c.t.Fatal(err)
	}
	time.Sleep(cancelTime)
	begun := c.startsOfJob(id)
	time.Sleep(4 * time.Second)
	if n := c.startsOfJob(id) - begun; n > 0 {
		c.t.Errorf("%d runs began later than %s after the end of the job", n, cancelTime)
	}
}

// Guards against a takeover that misses an end which arrives while it writes: the job went on
// after the end was acknowledged. The writes of the host that takes over are executed late, or
// answered late, and the end comes at each moment of the takeover.
func TestJobEndedDuringATakeoverDoesNotGoOn(t *testing.T) {
	t.Parallel()
	for _, leave := range []struct {
		name string
		do   func(owner *host)
	}{
		{"the owner is killed", func(owner *host) { owner.kill() }},
		{"the owner stops", func(owner *host) {
			owner.heartbeat.SetDraining()
			owner.manager.Drain(context.Background(), 0)
		}},
	} {
		for _, delay := range []struct {
			name          string
			before, after time.Duration
		}{{"late writes", 500 * time.Millisecond, 0}, {"late answers", 0, 500 * time.Millisecond}, {"both", 250 * time.Millisecond, 250 * time.Millisecond}} {
			t.Run(leave.name+", "+delay.name, func(t *testing.T) {
				t.Parallel()
				for at := time.Duration(0); at <= 4*time.Second; at += 100 * time.Millisecond {
					t.Run(fmt.Sprint(at), func(t *testing.T) {
						withCluster(t, func(c *cluster) {
							c.engines.length = 50
							s, owner, _ := c.startWithJob(100, "a", "a", "b", "c")
							time.Sleep(500 * time.Millisecond)
							for _, h := range c.hosts {
								if h != owner {
									h.rows.SlowWrites(TableJobs, delay.before, delay.after)
								}
							}
							leave.do(owner)
							time.Sleep(at)
							c.checkEnds(s.ID)
						})
					})
				}
			})
		}
	}
}
