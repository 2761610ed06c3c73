package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/adminapi"
	"github.com/sapphirehatch/sapphirehatch/internal/hostkeys"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/ports"
)

const (
	hostCount    = 3
	pollInterval = 50 * time.Millisecond
)

// hostSettings returns the settings of all hosts and writes their TLS keys to dir.
func hostSettings(dir, platformAddress, operatorSHA256 string) ([]*settings.Settings, error) {
	hosts := make([]*settings.Settings, hostCount)
	seeds := make([]string, hostCount)
	for i := range hosts {
		id := fmt.Sprintf("host-%d", i+1)
		if err := hostkeys.Write(dir, id); err != nil {
			return nil, err
		}
		s := settings.Default()
		s.Host.ID = id
		s.Host.FailureDomain = failureDomains[i%len(failureDomains)]
		if err := chooseAddresses(&s.Host.CallerAddress, &s.Host.AdminAddress, &s.Host.PeerAddress); err != nil {
			return nil, err
		}
		s.Platform.Address = platformAddress
		s.TLS = settings.TLS{
			CA:          filepath.Join(dir, hostkeys.AuthorityFile),
			Certificate: filepath.Join(dir, id+hostkeys.CertificateSuffix),
			Key:         filepath.Join(dir, id+hostkeys.KeySuffix),
		}
		s.Access.OperatorTokenSHA256 = operatorSHA256
		s.Log.Level = "error"
		s.Jobs.Accept = "yes"
		s.Timing.ConfigPoll = 500 * time.Millisecond
		s.Timing.MembershipPoll = memberLag
		hosts[i] = s
		seeds[i] = s.Host.PeerAddress
	}
	for _, s := range hosts {
		s.Host.SeedPeers = seeds
	}
	return hosts, nil
}

// hostPorts are below the ports of the tests. It begins at random, since two demonstrations may
// run at once.
var hostPorts = ports.NewRange(firstPort, portCount, rand.IntN(portCount))

const (
	firstPort = 5000
	portCount = 5000
)

// chooseAddresses sets each address to a different free loopback port.
func chooseAddresses(addresses ...*string) error {
	for _, address := range addresses {
		free, err := hostPorts.FreeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	return nil
}

// applyDocument applies the deployment document through a host's administration API.
func applyDocument(ctx context.Context, admin, operatorSecret, text string) error {
	client := operatorClient(operatorSecret)
	change := adminapi.ApplyRequest{ChangeID: uuid.NewString(), Text: text}
	return retry(ctx, func() error {
		var accepted adminapi.ApplyResponse
		_, err := client.Do(http.MethodPost, "http://"+admin+adminapi.PathConfig, change, &accepted)
		return err
	})
}

// awaitReady waits until a host's readiness check passes.
func awaitReady(ctx context.Context, admin, operatorSecret string) error {
	client := operatorClient(operatorSecret)
	return retry(ctx, func() error {
		_, err := client.Do(http.MethodGet, "http://"+admin+adminapi.PathReady, nil, nil)
		return err
	})
}

func operatorClient(secret string) *jsonhttp.Client {
	return jsonhttp.NewClient(callTimeout, nil).WithHeader(fasthttp.HeaderAuthorization, "Bearer "+secret)
}

// retry repeats call until it succeeds. After readyTimeout, or when ctx ends, it
// returns the last error.
func retry(ctx context.Context, call func() error) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := call()
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		time.Sleep(pollInterval)
	}
}
