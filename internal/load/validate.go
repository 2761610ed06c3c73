package load

import (
	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// validateReferences verifies what sections say about each other.
func (e *Experiment) validateReferences() error {
	for _, caller := range e.Callers {
		if err := e.validateCaller(caller); err != nil {
			return err
		}
	}
	for _, trainer := range e.Trainers {
		if e.Settings.Platform == "" || len(e.Settings.Hosts) == 0 {
			return invalidField(sectionTrainer+trainer.Name, "a trainer needs experiment.hosts and experiment.platform")
		}
		if trainer.Via == ViaBarrier && len(e.poolAddresses(trainer.Pool)) == 0 {
			return invalidField(sectionTrainer+trainer.Name+".pool", "no upstream with an address is in the pool "+trainer.Pool)
		}
	}
	for _, fault := range e.Faults {
		if err := e.validateFault(fault); err != nil {
			return err
		}
	}
	return nil
}

func (e *Experiment) validateCaller(caller Caller) error {
	name := sectionCaller + caller.Name
	if caller.Via == ViaHosts && len(e.Settings.Hosts) == 0 {
		return invalidField(name, "a caller of the hosts needs experiment.hosts")
	}
	if caller.Via == ViaDirect && len(e.poolAddresses(caller.Pool)) == 0 {
		return invalidField(name+".pool", "no upstream with an address is in the pool "+caller.Pool)
	}
	if caller.Stop > 0 && caller.Stop <= caller.Start {
		return invalidField(name+".stop", "the stop must come after the start")
	}
	return nil
}

func (e *Experiment) validateFault(fault Fault) error {
	name := sectionFault + fault.Name
	if fault.Kind == SignalFault {
		if _, ok := e.findProcess(fault.Target); !ok {
			return invalidField(name+".target", "no [process."+fault.Target+"] section")
		}
		return nil
	}
	if !control.KnownFault(standinapi.FaultKind(fault.Kind)) {
		return invalidField(name+".kind", "the fault kind "+fault.Kind+" is not known")
	}
	if _, ok := e.findUpstream(fault.Target); !ok {
		return invalidField(name+".target", "no [upstream."+fault.Target+"] section")
	}
	return nil
}

func invalidField(field, message string) error {
	return failure.New(failure.InvalidSettings, "", "%s: %s", field, message).WithField(field)
}

// poolAddresses returns the addresses of a poolAddresses's upstreams.
func (e *Experiment) poolAddresses(name string) []string {
	return lo.FilterMap(e.Upstreams, func(u Upstream, _ int) (string, bool) {
		return u.Address, u.Pool == name && u.Address != ""
	})
}

func (e *Experiment) findProcess(name string) (Process, bool) {
	return lo.Find(e.Processes, func(p Process) bool { return p.Name == name })
}

func (e *Experiment) findUpstream(name string) (Upstream, bool) {
	return lo.Find(e.Upstreams, func(u Upstream) bool { return u.Name == name })
}
