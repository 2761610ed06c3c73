package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

const (
	// protocolName is the ALPN protocol name of the peer exchange.
	protocolName = "sapphirehatch-peer/1"
	// connIdleTimeout is the time after which a connection without traffic is closed.
	connIdleTimeout = 30 * time.Second
	// handshakeIdleTimeout is the time after which a handshake without traffic fails.
	handshakeIdleTimeout = 2 * time.Second
	// maxIncomingStreams is the maximum number of streams that the other end may have open on a connection.
	maxIncomingStreams = 1024
	// The flow control windows grow with use from their initial size to their maximum.
	initialWindowBytes = 64 << 10
	maxWindowBytes     = 4 << 20
	// maxCachedSessions is the maximum number of TLS sessions kept for resumption.
	maxCachedSessions = 64
)

// quicTransport is a Transport over QUIC with mutual TLS.
type quicTransport struct {
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	tls       *tls.Config
	config    *quic.Config
	traffic   traffic
}

// ListenQUIC returns a Transport over QUIC that listens on an ip:port address.
// Each host proves its id with a certificate signed by the CA in keys. An
// invalid address or key file is an InvalidSettings error with its field.
func ListenQUIC(address string, keys settings.TLS) (Transport, error) {
	tlsConfig, err := loadTLS(keys)
	if err != nil {
		return nil, err
	}
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "peer address %s is invalid", address).WithField("host.peer_address")
	}
	socket, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "cannot listen on peer address %s", address).WithField("host.peer_address")
	}
	t := &quicTransport{socket: socket, transport: &quic.Transport{Conn: socket}, tls: tlsConfig, config: quicConfig()}
	t.listener, err = t.transport.Listen(tlsConfig, t.config)
	if err != nil {
		_ = socket.Close()
		return nil, failure.Wrap(err, failure.Internal, "", "cannot start the QUIC listener on peer address %s", address)
	}
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeIdleTimeout,
		MaxIdleTimeout:                 connIdleTimeout,
		MaxIncomingStreams:             maxIncomingStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     initialWindowBytes,
		MaxStreamReceiveWindow:         maxWindowBytes,
		InitialConnectionReceiveWindow: initialWindowBytes,
		MaxConnectionReceiveWindow:     maxWindowBytes,
		DisablePathMTUDiscovery:        true,
	}
}

// loadTLS returns the TLS configuration with the certificate, key and CA in the files of keys.
func loadTLS(keys settings.TLS) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(keys.Certificate, keys.Key)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "cannot load certificate %s with key %s", keys.Certificate, keys.Key).WithField("tls.certificate")
	}
	ca, err := os.ReadFile(keys.CA)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "cannot read CA certificate %s", keys.CA).WithField("tls.ca")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, failure.New(failure.InvalidSettings, "", "file %s contains no CA certificate", keys.CA).WithField("tls.ca")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{protocolName},
		MinVersion:   tls.VersionTLS13,
		// A certificate names the host's id, not the address that is dialed, so the
		// default name check does not apply. verifyHost checks the chain against the CA.
		InsecureSkipVerify: true, //nolint:gosec // replaced by VerifyConnection
		VerifyConnection:   verifyHost(roots),
		ClientSessionCache: tls.NewLRUClientSessionCache(maxCachedSessions),
	}, nil
}

// verifyHost returns a check that the other end's certificate is signed by the CA in roots.
func verifyHost(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return failure.New(failure.Unauthorized, failure.NotRun, "peer sent no certificate")
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:     roots,
			KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		if err != nil {
			return failure.Wrap(err, failure.Unauthorized, failure.NotRun, "peer certificate of %q is not signed by the CA", state.PeerCertificates[0].Subject.CommonName)
		}
		return nil
	}
}

// Dial implements Transport.
func (t *quicTransport) Dial(ctx context.Context, address string) (Conn, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	config := t.tls.Clone()
	// The server name is the key of the session cache.
	config.ServerName = address
	conn, err := t.transport.Dial(ctx, udpAddress, config, t.config)
	if err != nil {
		return nil, err
	}
	return t.newConn(conn), nil
}

// Accept implements Transport.
func (t *quicTransport) Accept(ctx context.Context) (Conn, error) {
	conn, err := t.listener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	return t.newConn(conn), nil
}

// Close implements Transport.
func (t *quicTransport) Close() error {
	_ = t.listener.Close()
	err := t.transport.Close()
	_ = t.socket.Close()
	return err
}

type quicConn struct {
	conn *quic.Conn
	id   string
}

// newConn wraps a connection and counts its traffic.
func (t *quicTransport) newConn(conn *quic.Conn) Conn {
	t.traffic.add(conn)
	id := conn.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName
	return &quicConn{conn: conn, id: id}
}

func (c *quicConn) PeerID() string { return c.id }

func (c *quicConn) Open(ctx context.Context) (Stream, error) {
	s, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	return quicStream{s}, nil
}

func (c *quicConn) Accept(ctx context.Context) (Stream, error) {
	s, err := c.conn.AcceptStream(ctx)
	if err != nil {
		return nil, err
	}
	return quicStream{s}, nil
}

func (c *quicConn) Done() <-chan struct{} { return c.conn.Context().Done() }

func (c *quicConn) Close() { _ = c.conn.CloseWithError(0, "") }

type quicStream struct{ *quic.Stream }

func (s quicStream) Abort() {
	s.CancelRead(0)
	s.CancelWrite(0)
}
