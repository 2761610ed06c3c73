package hostkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// Names of the files that Write creates.
const (
	AuthorityFile    = "ca.crt"
	AuthorityKeyFile = "ca.key"
	// CertificateSuffix and KeySuffix are appended to a host's id.
	CertificateSuffix = ".crt"
	KeySuffix         = ".key"
)

const (
	// authorityName is the common name of the CA certificate.
	authorityName = "sapphirehatch hosts"
	// certificateValidity is the time until a certificate expires, for the CA and the hosts.
	certificateValidity = 365 * 24 * time.Hour
	// clockSkewTolerance is how far a host's clock may be behind the clock of the machine that runs Write.
	clockSkewTolerance = time.Hour
	// serialNumberBits is the length of the random serial numbers.
	serialNumberBits = 120
	directoryMode    = 0o700
	fileMode         = 0o600
)

// Write creates a certificate and a key in dir for each host id. It first creates
// the CA if dir has none. The existing certificate and key of a host are replaced.
// The common name of a certificate is the host's id.
func Write(dir string, hostIDs ...string) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return failure.Wrap(err, failure.Internal, "", "cannot create directory %s", dir).WithField("out")
	}
	ca, err := loadAuthority(dir)
	if errors.Is(err, fs.ErrNotExist) {
		ca, err = createAuthority(dir)
	}
	if err != nil {
		return err
	}
	for _, id := range hostIDs {
		if err := ca.writeHost(dir, id); err != nil {
			return err
		}
	}
	return nil
}

// authority is the CA that signs the hosts' certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func createAuthority(dir string) (*authority, error) {
	template, err := newTemplate(authorityName)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "cannot create the CA certificate")
	}
	if err := writePair(filepath.Join(dir, AuthorityFile), filepath.Join(dir, AuthorityKeyFile), der, key); err != nil {
		return nil, err
	}
	return loadAuthority(dir)
}

func (a *authority) writeHost(dir, id string) error {
	template, err := newTemplate(id)
	if err != nil {
		return err
	}
	template.DNSNames = []string{id}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := newKey()
	if err != nil {
		return err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "cannot create the certificate of host %s", id)
	}
	return writePair(filepath.Join(dir, id+CertificateSuffix), filepath.Join(dir, id+KeySuffix), der, key)
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "cannot generate a key")
	}
	return key, nil
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "cannot generate a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(certificateValidity),
	}, nil
}
