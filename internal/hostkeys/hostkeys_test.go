package hostkeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"
)

// A second call of Write must use the CA that the first one created.
func TestHostsAreSignedByTheFirstAuthority(t *testing.T) {
	dir := t.TempDir()
	for _, id := range []string{"host-1", "host-2"} {
		if err := Write(dir, id); err != nil {
			t.Fatal(err)
		}
	}
	authorityText, err := os.ReadFile(filepath.Join(dir, AuthorityFile))
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(authorityText)
	for _, id := range []string{"host-1", "host-2"} {
		pair, err := tls.LoadX509KeyPair(filepath.Join(dir, id+CertificateSuffix), filepath.Join(dir, id+KeySuffix))
		if err != nil {
			t.Fatal(err)
		}
		for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
			opts := x509.VerifyOptions{Roots: roots, DNSName: id, KeyUsages: []x509.ExtKeyUsage{usage}}
			if _, err := pair.Leaf.Verify(opts); err != nil {
				t.Errorf("certificate of %s for usage %v: %v", id, usage, err)
			}
		}
	}
}
