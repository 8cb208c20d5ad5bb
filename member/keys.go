package member

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// reloadAfter is how often the key files are looked at.
const reloadAfter = 5 * time.Second

// protocolName is the application protocol of peers in TLS.
const protocolName = "lemonstream-peer/1"

// serverName is the name that every entry's certificate carries.
const serverName = "lemonstream-peer"

// Keys holds the certificate and the authority of this entry. Files that
// changed are read again without a restart; files that cannot be read leave
// the earlier keys in force.
type Keys struct {
	certFile string
	keyFile  string
	caFile   string

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	cert    *tls.Certificate
	roots   *x509.CertPool
}

// LoadKeys reads the three PEM files.
func LoadKeys(certFile, keyFile, caFile string) (*Keys, error) {
	k := &Keys{
		certFile: certFile,
		keyFile:  keyFile,
		caFile:   caFile,
	}
	if err := k.read(); err != nil {
		return nil, err
	}
	return k, nil
}

func (k *Keys) client() *tls.Config {
	_, roots := k.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		ServerName: serverName,
		RootCAs:    roots,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
	}
}

func (k *Keys) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := k.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{protocolName},
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
			}, nil
		},
	}
}

func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checked) > reloadAfter {
		k.checked = time.Now()
		if k.newest().After(k.changed) {
			_ = k.readLocked()
		}
	}
	return k.cert, k.roots
}

func (k *Keys) newest() time.Time {
	var newest time.Time
	for _, name := range []string{k.certFile, k.keyFile, k.caFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (k *Keys) read() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checked = time.Now()
	return k.readLocked()
}

func (k *Keys) readLocked() error {
	changed := k.newest()
	cert, err := tls.LoadX509KeyPair(k.certFile, k.keyFile)
	if err != nil {
		return fmt.Errorf("reading peer certificate %s and key %s: %w", k.certFile, k.keyFile, err)
	}
	authority, err := os.ReadFile(k.caFile)
	if err != nil {
		return fmt.Errorf("reading peer authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return fmt.Errorf("peer authority %s holds no certificate", k.caFile)
	}
	k.cert = &cert
	k.roots = roots
	k.changed = changed
	return nil
}
