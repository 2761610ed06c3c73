package load

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// runFaults switches each fault on and off at its scheduled times. It returns when
// all faults are off; faults still on when ctx ends are switched off then.
func (a *armRun) runFaults(ctx context.Context, start time.Time) {
	var wait sync.WaitGroup
	for _, fault := range a.experiment.Faults {
		wait.Go(func() { a.runFault(ctx, start, fault) })
	}
	wait.Wait()
}

func (a *armRun) runFault(ctx context.Context, start time.Time, fault Fault) {
	if !pause.For(ctx, time.Until(start.Add(fault.At))) {
		return
	}
	a.recordFault(fault, "on", a.setFault(fault, true))
	if fault.For > 0 {
		pause.For(ctx, fault.For)
	} else {
		<-ctx.Done()
	}
	a.recordFault(fault, "off", a.setFault(fault, false))
}

func (a *armRun) recordFault(fault Fault, state string, err error) {
	log := a.log.WithValues("fault", fault.Name, "target", fault.Target, "kind", fault.Kind, "state", state)
	if err == nil {
		log.Info("fault switched")
		return
	}
	log.Error(err, "fault could not be switched")
	a.faultsMu.Lock()
	defer a.faultsMu.Unlock()
	a.faultErrors = append(a.faultErrors, fault.Name+" "+state+": "+err.Error())
}

// setFault switches a fault on or off. Of the signals, only stop is undone (by
// continue).
func (a *armRun) setFault(fault Fault, on bool) error {
	if fault.Kind == SignalFault {
		process, _ := a.experiment.findProcess(fault.Target)
		switch {
		case on:
			return process.signal(fault.Signal)
		case fault.Signal == signalStop:
			return process.signal(signalContinue)
		}
		return nil
	}
	upstream, _ := a.experiment.findUpstream(fault.Target)
	return control.NewClient(upstream.Control).SetFault(standinapi.Fault{
		Kind:        standinapi.FaultKind(fault.Kind),
		On:          on,
		DelayMillis: fault.Delay.Milliseconds(),
		Match:       fault.Match,
		Count:       fault.Count,
		Bytes:       fault.Bytes,
	})
}

// clearFaults switches off the experiment's faults, which an earlier run may have
// left on.
func clearFaults(log logr.Logger, e *Experiment) {
	for _, fault := range e.Faults {
		upstream, ok := e.findUpstream(fault.Target)
		if !ok {
			continue
		}
		err := control.NewClient(upstream.Control).SetFault(standinapi.Fault{Kind: standinapi.FaultKind(fault.Kind)})
		if err != nil {
			log.Error(err, "fault could not be cleared", "target", fault.Target, "kind", fault.Kind)
		}
	}
}
