package command

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/adminapi"
	"github.com/sapphirehatch/sapphirehatch/internal/callerapi"
	"github.com/sapphirehatch/sapphirehatch/internal/chatjobs"
	"github.com/sapphirehatch/sapphirehatch/internal/claim"
	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/console"
	"github.com/sapphirehatch/sapphirehatch/internal/controller"
	"github.com/sapphirehatch/sapphirehatch/internal/drain"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/entry"
	"github.com/sapphirehatch/sapphirehatch/internal/filter/chain"
	"github.com/sapphirehatch/sapphirehatch/internal/health"
	"github.com/sapphirehatch/sapphirehatch/internal/home"
	"github.com/sapphirehatch/sapphirehatch/internal/lease"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/observe"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/quarantine"
	"github.com/sapphirehatch/sapphirehatch/internal/quota"
	"github.com/sapphirehatch/sapphirehatch/internal/rollout"
	"github.com/sapphirehatch/sapphirehatch/internal/routing"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
	"github.com/sapphirehatch/sapphirehatch/internal/weights"
)

// providers register the components of a host with the injector, package by package. A
// component with background tasks adds them to the duty.Group when it is built.
var providers = []func(do.Injector){
	platform.Provide,
	peer.Provide,
	membership.Provide,
	config.Provide,
	health.Provide,
	lease.Provide,
	controller.Provide,
	routing.Provide,
	upstream.Provide,
	weights.Provide,
	rollout.Provide,
	adminapi.Provide,
	console.Provide,
	observe.Provide,
	quota.Provide,
	claim.Provide,
	home.Provide,
	quarantine.Provide,
	drain.Provide,
	entry.Provide,
	chain.Provide,
	callerapi.Provide,
	chatjobs.Provide,
}

// newHost builds an entry host.
func newHost(s *settings.Settings, log logr.Logger) (do.Injector, error) {
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, log.WithValues("host", s.Host.ID))
	do.ProvideValue(i, duty.NewGroup(log))
	do.ProvideValue(i, metrics.NewSet())
	for _, provide := range providers {
		provide(i)
	}
	return i, buildHost(i)
}

// buildHost builds the components on which no other one depends, and with them all their
// dependencies.
func buildHost(i do.Injector) error {
	if _, err := do.Invoke[*callerapi.Server](i); err != nil {
		return err
	}
	if _, err := do.Invoke[*console.Console](i); err != nil {
		return err
	}
	if _, err := do.Invoke[*rollout.API](i); err != nil {
		return err
	}
	if _, err := do.Invoke[*rollout.Owner](i); err != nil {
		return err
	}
	if s, err := do.Invoke[*settings.Settings](i); err != nil || s.Jobs.Accept == "yes" {
		if _, err := do.Invoke[*chatjobs.API](i); err != nil {
			return err
		}
	}
	_, err := do.Invoke[*weights.Controller](i)
	return err
}
