package observe

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

func text(set *metrics.Set) string {
	var b bytes.Buffer
	set.WritePrometheus(&b)
	return b.String()
}

func TestRequestIsRecorded(t *testing.T) {
	set := metrics.NewSet()
	r := NewRecorder(set)
	at := time.Unix(100, 0)
	r.Record(Request{
		Tenant: "depot", Class: deployment.ClassInteractive, Attempts: 3,
		Arrived: at, Dispatched: at.Add(time.Second), FirstByte: at.Add(2 * time.Second), Ended: at.Add(4 * time.Second),
	})
	r.Record(Request{Arrived: at, Ended: at, Err: failure.New(failure.Unauthorized, failure.NotRun, "none")})
	got := text(set)
	for _, line := range []string{
		`sapphirehatch_request_queue_seconds_sum{tenant="depot",class="interactive"} 1`,
		`sapphirehatch_request_first_byte_seconds_sum{tenant="depot",class="interactive"} 2`,
		`sapphirehatch_request_seconds_sum{tenant="depot",class="interactive"} 4`,
		`sapphirehatch_retries_total{tenant="depot",class="interactive"} 2`,
		`sapphirehatch_refusals_total{type="unauthorized",outcome="not-run"} 1`,
		`sapphirehatch_request_seconds_count{tenant="none",class="none"} 1`,
	} {
		if !strings.Contains(got, line+"\n") {
			t.Errorf("no line %s in\n%s", line, got)
		}
	}
}

func TestNumberOfTenantLabelsIsLimited(t *testing.T) {
	set := metrics.NewSet()
	r := NewRecorder(set)
	for i := range 3 * maxTenants {
		r.Record(Request{Tenant: fmt.Sprintf("t%d", i), Class: deployment.ClassInteractive})
	}
	if n := strings.Count(text(set), "sapphirehatch_request_seconds_count"); n != maxTenants+1 {
		t.Errorf("%d series, want %d", n, maxTenants+1)
	}
}
