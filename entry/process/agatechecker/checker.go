// Package agatechecker opens the TCP connections that check backend servers. It decides
// nothing: agatecheck says what to ask and what the outcomes prove.
package agatechecker

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"agatereach/core/process/agatecheck"
	"agatereach/core/process/agatepanic"
	"agatereach/core/process/agatering"
)

const (
	// workers is the number of attempts under way at most: eight checks with a control
	// connection each.
	workers = 16
	// queueCapacity is the number of attempts, and of reports, that may wait.
	queueCapacity = 64
	// maxTimeout bounds an attempt, whatever it asks for, so that no worker is held longer.
	maxTimeout = 500 * time.Millisecond
)

// Dialer opens a TCP connection.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Report is the outcome of an attempt in wall-clock times with monotonic readings.
type Report struct {
	// Number is that of the attempt.
	Number  uint64
	Outcome agatecheck.Outcome
	// Identity is the id of the server that listens; 0 if it isn't known.
	Identity uint64
	// Began and Ended are when the connection was begun, and when it was open or failed.
	Began, Ended time.Time
}

// Checker carries out attempts.
type Checker struct {
	dial Dialer
	// serverID returns the id that the header of a health endpoint's answer names, and
	// whether it names one.
	serverID func(http.Header) (uint64, bool)
	attempts *agatering.Ring[agatecheck.Attempt]
	reports  *agatering.Ring[Report]
}

// Option changes a Checker.
type Option func(*Checker)

// WithDialer has connections opened by another function.
func WithDialer(dial Dialer) Option { return func(c *Checker) { c.dial = dial } }

// WithServerID has the id of the server that answers at a health endpoint read by a
// function. Without it, no endpoint is asked.
func WithServerID(serverID func(http.Header) (uint64, bool)) Option {
	return func(c *Checker) { c.serverID = serverID }
}

// New returns a Checker.
func New(options ...Option) *Checker {
	c := &Checker{
		dial:     dialTCP,
		attempts: agatering.New[agatecheck.Attempt](queueCapacity),
		reports:  agatering.New[Report](queueCapacity),
	}
	for _, each := range options {
		each(c)
	}
	return c
}

// dialTCP opens a connection without keep-alives, since it is closed at once.
func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp4", address.String())
}

// Attempts returns the queue for attempts. An attempt that finds it full is lost.
func (c *Checker) Attempts() *agatering.Ring[agatecheck.Attempt] { return c.attempts }

// Reports returns the queue with the outcomes. A report that finds it full is lost.
func (c *Checker) Reports() *agatering.Ring[Report] { return c.reports }

// Run carries out attempts until the context ends or a worker panics.
func (c *Checker) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range workers {
		group.Go(func() error {
			return agatepanic.Catch("check", func() error {
				c.work(ctx)
				return nil
			})
		})
	}
	return group.Wait()
}

// work carries out one attempt at a time.
func (c *Checker) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-c.attempts.Items():
			if wait(ctx, min(a.Delay, maxTimeout)) {
				c.reports.Put(c.try(ctx, a))
			}
		}
	}
}

// wait waits and reports whether the context is still valid.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// try opens a connection, asks who listens if the attempt says so, and closes it.
func (c *Checker) try(ctx context.Context, a agatecheck.Attempt) Report {
	ctx, cancel := context.WithTimeout(ctx, min(a.Timeout, maxTimeout))
	defer cancel()
	r := Report{Number: a.Number, Began: time.Now()}
	conn, err := c.dial(ctx, a.Server.Address.AddrPort())
	r.Outcome = outcomeOf(err)
	if r.Outcome == agatecheck.Unanswered {
		// A host is reported as unreachable at once. Two attempts must span two timeouts, or
		// a route that fails for some milliseconds makes a server look dark.
		<-ctx.Done()
	}
	r.Ended = time.Now()
	if err == nil {
		if a.HealthPath != "" && c.serverID != nil {
			r.Identity = c.identify(conn, r.Began.Add(min(a.Timeout, maxTimeout)), a.HealthPath)
		}
		// The result of the check stands, whatever closing the connection says.
		_ = conn.Close()
	}
	return r
}

// maxAnswerSize is the number of bytes of a health endpoint's answer that are read.
const maxAnswerSize = 4 << 10

// identify asks the health endpoint who listens. It returns the id that the answer names, or
// 0 if none comes in time: whether the server is healthy doesn't matter.
func (c *Checker) identify(conn net.Conn, deadline time.Time, path string) uint64 {
	request, err := http.NewRequest(http.MethodGet, "http://"+conn.RemoteAddr().String()+path, nil)
	if err != nil || conn.SetDeadline(deadline) != nil || request.Write(conn) != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxAnswerSize)), request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	id, ok := c.serverID(response.Header)
	if !ok {
		return 0
	}
	return id
}

// outcomeOf returns the outcome of an attempt that ended with an error or none. A host that
// doesn't answer the link's address resolution is reported as unreachable: it is as silent as
// one that doesn't answer the segment.
func outcomeOf(err error) agatecheck.Outcome {
	var timeout net.Error
	switch {
	case err == nil, errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		// A server that resets the connection as soon as it is open has accepted it; one that
		// doesn't listen refuses.
		return agatecheck.Accepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return agatecheck.Refused
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return agatecheck.Unanswered
	case errors.As(err, &timeout) && timeout.Timeout():
		return agatecheck.Unanswered
	}
	return agatecheck.Failed
}
