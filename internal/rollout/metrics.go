package rollout

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// trainerCounter returns the counter sapphirehatch_rollout_<name> of a trainer.
func trainerCounter(set *metrics.Set, name, trainer string) *metrics.Counter {
	return set.GetOrCreateCounter(fmt.Sprintf(`sapphirehatch_rollout_%s{trainer=%q}`, name, trainer))
}

// waitSeconds returns the total time that a trainer's requests waited for samples, in seconds.
func waitSeconds(set *metrics.Set, trainer string) *metrics.FloatCounter {
	return set.GetOrCreateFloatCounter(fmt.Sprintf(`sapphirehatch_rollout_wait_seconds_total{trainer=%q}`, trainer))
}

// deliveredAge returns the histogram of the age of delivered samples, in weight versions.
func deliveredAge(set *metrics.Set, trainer string) *metrics.Histogram {
	return set.GetOrCreateHistogram(fmt.Sprintf(`sapphirehatch_rollout_delivered_age_versions{trainer=%q}`, trainer))
}
