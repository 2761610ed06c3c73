package hostkeys

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "EC PRIVATE KEY"
)

// loadAuthority reads the CA in dir. Its error wraps fs.ErrNotExist if there is none.
func loadAuthority(dir string) (*authority, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, AuthorityFile), filepath.Join(dir, AuthorityKeyFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "cannot read the CA certificate and key in %s", dir)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, failure.New(failure.InvalidSettings, "", "the CA key in %s is not an ECDSA key", dir)
	}
	certificate, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "", "cannot parse the CA certificate in %s", dir)
	}
	return &authority{certificate: certificate, key: key}, nil
}

// writePair writes a DER certificate and its key as PEM files.
func writePair(certificatePath, keyPath string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "cannot encode the key for %s", certificatePath)
	}
	if err := writeBlock(keyPath, keyBlock, keyDER); err != nil {
		return err
	}
	return writeBlock(certificatePath, certificateBlock, der)
}

func writeBlock(path, kind string, der []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, text, fileMode); err != nil {
		return failure.Wrap(err, failure.Internal, "", "cannot write file %s", path)
	}
	return nil
}
