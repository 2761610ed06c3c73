package load

import (
	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// validateReferences checks the references between sections.
func (e *Experiment) validateReferences() error {
	for _, caller := range e.Callers {
		if err := e.validateCaller(caller); err != nil {
			return err
		}
	}
	for _, trainer := range e.Trainers {
		if e.Settings.Platform == "" || len(e.Settings.Hosts) == 0 {
			return invalidField(sectionTrainer+trainer.Name, "a trainer requires experiment.hosts and experiment.platform")
		}
		if trainer.Via == ViaBarrier && len(e.poolAddresses(trainer.Pool)) == 0 {
			return invalidField(sectionTrainer+trainer.Name+".pool", "no upstream with an address is in pool "+trainer.Pool)
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
		return invalidField(name, "via = hosts requires experiment.hosts")
	}
	if caller.Via == ViaDirect && len(e.poolAddresses(caller.Pool)) == 0 {
		return invalidField(name+".pool", "no upstream with an address is in pool "+caller.Pool)
	}
	if caller.Stop > 0 && caller.Stop <= caller.Start {
		return invalidField(name+".stop", "stop = "+caller.Stop.String()+" must be later than start = "+caller.Start.String())
	}
	return nil
}

func (e *Experiment) validateFault(fault Fault) error {
	name := sectionFault + fault.Name
	if fault.Kind == SignalFault {
		if _, ok := e.findProcess(fault.Target); !ok {
			return invalidField(name+".target", "there is no section [process."+fault.Target+"]")
		}
		return nil
	}
	if !control.KnownFault(standinapi.FaultKind(fault.Kind)) {
		return invalidField(name+".kind", "unknown fault kind "+fault.Kind)
	}
	if _, ok := e.findUpstream(fault.Target); !ok {
		return invalidField(name+".target", "there is no section [upstream."+fault.Target+"]")
	}
	return nil
}

func invalidField(field, message string) error {
	return failure.New(failure.InvalidSettings, "", "%s: %s", field, message).WithField(field)
}

// poolAddresses returns the addresses of a pool's upstreams, in file order.
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
