package member

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// keyLife is how long issued certificates are valid.
const keyLife = 365 * 24 * time.Hour

// Names of the files that IssueKeys writes.
const (
	AuthorityFile   = "authority.pem"
	CertificateFile = "certificate.pem"
	KeyFile         = "key.pem"
)

// IssueKeys writes a new authority and one certificate with its key for peers
// into folder, which must exist. The authority's own key is not kept: new
// keys need a new authority.
func IssueKeys(folder string, now time.Time) error {
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("making authority key: %w", err)
	}
	authority := template("lemonstream authority", now)
	authority.IsCA = true
	authority.BasicConstraintsValid = true
	authority.KeyUsage = x509.KeyUsageCertSign
	authorityBody, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return fmt.Errorf("making authority: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("making key: %w", err)
	}
	leaf := template(serverName, now)
	leaf.DNSNames = []string{serverName}
	leaf.KeyUsage = x509.KeyUsageDigitalSignature
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	leafBody, err := x509.CreateCertificate(rand.Reader, leaf, authority, &key.PublicKey, authorityKey)
	if err != nil {
		return fmt.Errorf("making certificate: %w", err)
	}
	keyBody, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encoding key: %w", err)
	}
	blocks := map[string]*pem.Block{
		AuthorityFile: {
			Type:  "CERTIFICATE",
			Bytes: authorityBody,
		},
		CertificateFile: {
			Type:  "CERTIFICATE",
			Bytes: leafBody,
		},
		KeyFile: {
			Type:  "PRIVATE KEY",
			Bytes: keyBody,
		},
	}
	for name, block := range blocks {
		if err := os.WriteFile(filepath.Join(folder, name), pem.EncodeToMemory(block), 0o600); err != nil {
			return fmt.Errorf("writing keys: %w", err)
		}
	}
	return nil
}

func template(name string, now time.Time) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject: pkix.Name{
			CommonName: name,
		},
		NotBefore: now.Add(-time.Hour),
		NotAfter:  now.Add(keyLife),
	}
}
