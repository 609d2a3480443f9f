// Package agatecert loads certificates from files and takes up new ones without
// a restart.
package agatecert

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the shortest time between two looks at the files.
const checkInterval = 5 * time.Second

// FileError reports a file without a usable certificate or key.
type FileError struct {
	// Path names the file.
	Path string
	// Err is the reason; nil if the file holds no certificate.
	Err error
}

// Error names the file and the reason.
func (e *FileError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("file %s holds no certificate", e.Path)
	}
	return fmt.Sprintf("certificate file %s: %v", e.Path, e.Err)
}

// Unwrap returns the reason.
func (e *FileError) Unwrap() error { return e.Err }

// Files is a certificate, its key and the authority that signs the peers'
// certificates. It is safe for concurrent use.
type Files struct {
	cert, key, ca string

	mu sync.Mutex
	// checked is when the files were last looked at, and changed the newest
	// of their times of change then.
	checked, changed time.Time
	pair             tls.Certificate
	pool             *x509.CertPool
}

// New loads the files. The error is a *FileError.
func New(cert, key, ca string) (*Files, error) {
	f := &Files{cert: cert, key: key, ca: ca}
	if err := f.load(); err != nil {
		return nil, err
	}
	return f, nil
}

// load reads the files; when one of them is not usable, the former content
// stays in force.
func (f *Files) load() error {
	pair, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		return &FileError{Path: f.cert, Err: err}
	}
	text, err := os.ReadFile(f.ca)
	if err != nil {
		return &FileError{Path: f.ca, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return &FileError{Path: f.ca}
	}
	f.pair, f.pool = pair, pool
	f.changed = f.newest()
	return nil
}

// newest returns the latest time of change of the files.
func (f *Files) newest() time.Time {
	var latest time.Time
	for _, path := range []string{f.cert, f.key, f.ca} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns what is in force, after a look at the files if one is due.
func (f *Files) current() (tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.checked) >= checkInterval {
		f.checked = now
		if !f.newest().Equal(f.changed) {
			_ = f.load()
		}
	}
	return f.pair, f.pool
}

// Server returns the settings for taking connections. Each connection uses the
// files as they are then.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := f.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// Client returns the settings for making connections. Entries are reached by
// IP numbers that change, so a peer's certificate is checked against the
// authority, not against a name.
func (f *Files) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := f.current()
			return &pair, nil
		},
		InsecureSkipVerify: true,
		VerifyConnection:   f.verify,
	}
}

// verify checks the peer's certificate against the authority.
func (f *Files) verify(state tls.ConnectionState) error {
	_, pool := f.current()
	options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
