package observe

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/do/v2"
)

// Provide registers the *Recorder.
func Provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*Recorder, error) {
		return NewRecorder(do.MustInvoke[*metrics.Set](i)), nil
	})
}
