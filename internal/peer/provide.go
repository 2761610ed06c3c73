package peer

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// Provide registers the *Node as Exchange and Seeder, and adds its Run to the duties.
func Provide(i do.Injector) {
	do.Provide(i, provideNode)
	do.Provide(i, func(i do.Injector) (Exchange, error) { return do.Invoke[*Node](i) })
	do.Provide(i, func(i do.Injector) (Seeder, error) { return do.Invoke[*Node](i) })
}

func provideNode(i do.Injector) (*Node, error) {
	s := do.MustInvoke[*settings.Settings](i)
	transport, err := ListenQUIC(s.Host.PeerAddress, s.TLS)
	if err != nil {
		return nil, err
	}
	if quicOne, ok := transport.(*quicTransport); ok {
		registerTrafficGauges(do.MustInvoke[*metrics.Set](i), quicOne)
	}
	node := NewNode(Options{
		Host:      s.Host,
		Timing:    s.Timing,
		Transport: transport,
		Log:       do.MustInvoke[logr.Logger](i),
		Epoch:     uint64(time.Now().UnixNano()),
	})
	do.MustInvoke[*duty.Group](i).Add("peer-exchange", duty.StageExchange, node.Run)
	return node, nil
}

// registerTrafficGauges adds gauges of the transport's bytes and connections to set.
func registerTrafficGauges(set *metrics.Set, t *quicTransport) {
	set.GetOrCreateGauge("sapphirehatch_peer_sent_bytes", func() float64 {
		sent, _, _ := t.traffic.total()
		return float64(sent)
	})
	set.GetOrCreateGauge("sapphirehatch_peer_received_bytes", func() float64 {
		_, received, _ := t.traffic.total()
		return float64(received)
	})
	set.GetOrCreateGauge("sapphirehatch_peer_connections", func() float64 {
		_, _, open := t.traffic.total()
		return float64(open)
	})
}
