// Package agatesource reads and watches the platform's configuration service.
package agatesource

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agateserial"
	"agatereach/core/version/agatevmlist"
)

const (
	// MaxWait is the longest that the platform holds a watch.
	MaxWait = 30 * time.Second

	// maxTickets and maxVMs bound the bodies, in bytes.
	maxTickets = 1 << 20
	maxVMs     = 4 << 20
	// readTimeout bounds a read beyond the time that the platform holds it.
	readTimeout = 5 * time.Second
	// dialTimeout bounds the time to connect.
	dialTimeout = 2 * time.Second
	// maxAsked bounds the wait that the platform may ask for.
	maxAsked = time.Minute
	// limitWait is the wait after 429 without Retry-After.
	limitWait = time.Second
)

// Source reads one platform at one or several addresses. It is safe for
// concurrent use.
type Source struct {
	// addresses holds the platform's addresses, at least one.
	addresses []string
	// current is the place in addresses that answered last.
	current atomic.Uint64
	// reads counts the calls made.
	reads atomic.Uint64
	// client holds the connections.
	client *http.Client
}

// New returns a source for the platform's addresses (host:port), and a function
// that closes its connections. Connections come from the address local unless
// that is the zero value. The error is an *AddressError.
func New(addresses []string, local netip.Addr) (*Source, func(), error) {
	if len(addresses) == 0 {
		return nil, nil, &AddressError{}
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, nil, &AddressError{Address: address}
		}
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	if local.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: local.AsSlice()}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4}
	s := &Source{addresses: addresses, client: &http.Client{Transport: transport}}
	return s, transport.CloseIdleConnections, nil
}

// Reads returns the number of calls made to the platform.
func (s *Source) Reads() uint64 { return s.reads.Load() }

// Tickets returns the tickets after the given packed serial; those that failed their
// checks are in the batch as refusals. The platform holds the call up to wait until there
// are any. The errors are *LimitError, *DownError, *SizeError and *BodyError.
func (s *Source) Tickets(ctx context.Context, after uint64, wait time.Duration) (*agatebatch.Batch, error) {
	body, err := s.read(ctx, "/v1/tickets", after, wait, maxTickets)
	if err != nil {
		return nil, err
	}
	batch, err := decodeBatch(body)
	if err != nil {
		return nil, &BodyError{What: "tickets", Err: err}
	}
	return batch, nil
}

// VMs returns the list of VMs if its version is above the given one, both packed serials,
// else the platform holds the call up to wait. The errors are those of Tickets.
func (s *Source) VMs(ctx context.Context, version uint64, wait time.Duration) (*agatevmlist.List, error) {
	body, err := s.read(ctx, "/v1/vms", version, wait, maxVMs)
	if err != nil {
		return nil, err
	}
	list := new(agatevmlist.List)
	if err := json.Unmarshal(body, list); err != nil {
		return nil, &BodyError{What: "VM list", Err: err}
	}
	return list.WithSerial(), nil
}

// read makes one call and returns the body. A failed call moves on to the next
// address for the call after it.
func (s *Source) read(ctx context.Context, path string, after uint64, wait time.Duration, limit int64) ([]byte, error) {
	wait = min(max(wait, 0), MaxWait).Truncate(time.Second)
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	place := s.current.Load()
	address := s.addresses[place%uint64(len(s.addresses))]
	s.reads.Add(1)
	body, err := s.get(ctx, target(address, path, after, wait), limit)
	if down := (*DownError)(nil); errors.As(err, &down) {
		s.current.CompareAndSwap(place, place+1)
	}
	return body, err
}

func (s *Source) get(ctx context.Context, target string, limit int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, &DownError{Err: err}
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, &DownError{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	switch {
	case err != nil:
		return nil, &DownError{Err: err}
	case response.StatusCode == http.StatusTooManyRequests:
		return nil, &LimitError{Wait: asked(response.Header.Get("Retry-After"))}
	case response.StatusCode != http.StatusOK:
		return nil, &DownError{Status: response.StatusCode, Wait: asked(response.Header.Get("Retry-After"))}
	case int64(len(body)) > limit:
		return nil, &SizeError{Limit: limit}
	}
	return body, nil
}

func target(address, path string, after uint64, wait time.Duration) string {
	serial := agateserial.Unpack(after)
	query := url.Values{"after": {strconv.FormatUint(serial.Number, 10)}}
	if after > 0 {
		query.Set("era", strconv.FormatUint(uint64(serial.Era), 10))
	}
	if wait > 0 {
		query.Set("wait", strconv.Itoa(int(wait/time.Second)))
	}
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	return u.String()
}

// asked reads a Retry-After header in seconds. A header that is no number counts as none.
func asked(header string) time.Duration {
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || !(seconds >= 0) {
		return limitWait
	}
	return time.Duration(min(seconds, maxAsked.Seconds()) * float64(time.Second))
}

// String names the source for logs.
func (s *Source) String() string {
	return fmt.Sprintf("platform at %s", s.addresses[s.current.Load()%uint64(len(s.addresses))])
}
