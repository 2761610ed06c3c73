package rollout

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// The functions below return the metrics of one trainer on this host.

func trainerCounter(set *metrics.Set, name, trainer string) *metrics.Counter {
	return set.GetOrCreateCounter(fmt.Sprintf(`sapphirehatch_rollout_%s{trainer=%q}`, name, trainer))
}

// waitSeconds is the total time that a trainer's requests waited for samples, in seconds.
func waitSeconds(set *metrics.Set, trainer string) *metrics.FloatCounter {
	return set.GetOrCreateFloatCounter(fmt.Sprintf(`sapphirehatch_rollout_wait_seconds_total{trainer=%q}`, trainer))
}

// deliveredAge is the age of delivered samples, in weight versions.
func deliveredAge(set *metrics.Set, trainer string) *metrics.Histogram {
	return set.GetOrCreateHistogram(fmt.Sprintf(`sapphirehatch_rollout_delivered_age_versions{trainer=%q}`, trainer))
}
