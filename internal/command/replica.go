package command

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/member"
)

// standinServer has the flags of all stand-ins.
type standinServer struct {
	Address        string        `help:"TCP ip:port to serve on; port 0 picks one." default:"127.0.0.1:0"`
	ControlAddress string        `help:"TCP ip:port of the control interface." default:"127.0.0.1:0"`
	LogFile        string        `help:"File in which the record of executions survives a restart."`
	LeaveGrace     time.Duration `help:"Time to keep serving after announcing to leave." default:"3s"`
}

// config returns the server's configuration.
func (f standinServer) config() control.Config {
	return control.Config{
		Listen:        control.ListenTCP(f.Address),
		ListenControl: control.ListenTCP(f.ControlAddress),
		LogFile:       f.LogFile,
		LeaveGrace:    f.LeaveGrace,
	}
}

// standinMember has the flags of stand-ins that register with the platform.
type standinMember struct {
	standinServer `embed:""`
	Platform      string   `help:"The platform's ip:port; empty does not register."`
	ID            string   `help:"Unique id of the upstream. With several replicas, the prefix of their ids." required:""`
	Pool          string   `help:"Name of the service or engine pool in the deployment document." required:""`
	FailureDomain []string `help:"Failure domain of the upstream. Several are assigned to the replicas in turn." default:"local"`
	Region        string   `help:"Region of the upstream."`
	Replicas      int      `help:"Number of replicas in this process. They use every second port, starting with those of the addresses." default:"1"`
}

// replicaConfig is the configuration of one replica of a process.
type replicaConfig struct {
	server       control.Config
	registration member.Registration
}

// replicas returns the configurations of the process's replicas.
func (f standinMember) replicas() ([]replicaConfig, error) {
	if f.Replicas < 1 || len(f.FailureDomain) == 0 {
		return nil, failure.New(failure.InvalidSettings, "", "a stand-in needs at least one replica and one failure domain").WithField("replicas")
	}
	if f.Replicas == 1 {
		return []replicaConfig{f.replica(f.config(), f.ID, 0)}, nil
	}
	configs := make([]replicaConfig, f.Replicas)
	for i := range configs {
		server := f.standinServer
		var err error
		if server.Address, err = shiftPort(f.Address, i); err != nil {
			return nil, err
		}
		if server.ControlAddress, err = shiftPort(f.ControlAddress, i); err != nil {
			return nil, err
		}
		if f.LogFile != "" {
			server.LogFile = f.LogFile + "." + strconv.Itoa(i)
		}
		configs[i] = f.replica(server.config(), f.ID+"-"+strconv.Itoa(i), i)
	}
	return configs, nil
}

func (f standinMember) replica(server control.Config, id string, number int) replicaConfig {
	return replicaConfig{server: server, registration: member.Registration{Platform: f.Platform, Member: platform.Member{
		ID: id, Pool: f.Pool, FailureDomain: f.FailureDomain[number%len(f.FailureDomain)], Region: f.Region,
	}}}
}

// shiftPort returns the address of a replica by its number. Each replica has two ports,
// its own and that of its control interface. Port 0 stays, because it selects a free port.
func shiftPort(address string, number int) (string, error) {
	const portsPerReplica = 2
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", failure.Wrap(err, failure.InvalidSettings, "", "address %s is not an ip:port", address).WithField("address")
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return "", failure.Wrap(err, failure.InvalidSettings, "", "address %s has no numeric port", address).WithField("address")
	}
	if n > 0 {
		n += portsPerReplica * number
	}
	return net.JoinHostPort(host, strconv.Itoa(n)), nil
}

// standinRunner is the interface of all stand-ins.
type standinRunner interface {
	Run(ctx context.Context) error
	Ready() <-chan struct{}
	Address() string
	ControlAddress() string
}

// runReplicas runs the replicas of a process until ctx ends or all of them have ended. If
// one crashes, the others continue, and its error is returned at the end.
func runReplicas(ctx context.Context, out *streams, kind string, replicas []replicaConfig, build func(replicaConfig) (standinRunner, error)) error {
	runners := make([]standinRunner, len(replicas))
	for i, config := range replicas {
		var err error
		if runners[i], err = build(config); err != nil {
			return err
		}
	}
	errs := make([]error, len(replicas))
	var wg sync.WaitGroup
	for i, r := range runners {
		wg.Go(func() { errs[i] = runStandin(ctx, out, kind, replicas[i].registration.Member.ID, r) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// runStandin runs a stand-in and logs its addresses once it listens.
func runStandin(ctx context.Context, out *streams, kind, id string, r standinRunner) error {
	log, err := newLogger(out.Err, "info")
	if err != nil {
		return err
	}
	log = log.WithValues("standin", kind, "id", id)
	done := make(chan struct{})
	defer func() { <-done }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		defer close(done)
		logReady(ctx, log, r)
	}()
	err = r.Run(ctx)
	if err != nil {
		log.Error(err, "stand-in ended")
	}
	return err
}

// logReady logs a stand-in's addresses as soon as it is ready.
func logReady(ctx context.Context, log logr.Logger, r standinRunner) {
	select {
	case <-r.Ready():
		log.Info("ready", "address", r.Address(), "control", r.ControlAddress())
	case <-ctx.Done():
	}
}
