// Package agateclient reads the administration API of entries and the
// documents of the platform.
package agateclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"agatereach/core/version/agatebatch"
)

const (
	// maxBody bounds an answer, in bytes.
	maxBody = 64 << 20
	// defaultTimeout bounds one request.
	defaultTimeout = 5 * time.Second
	// maxPages bounds the reads of one walk over the tickets.
	maxPages = 4096
)

// UnreachableError reports a process that gave no answer.
type UnreachableError struct {
	// Address is where it was looked for.
	Address string
	// Err is the transport's error.
	Err error
}

// Error names the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s is unreachable: %v", e.Address, e.Err)
}

// Unwrap returns the transport's error.
func (e *UnreachableError) Unwrap() error { return e.Err }

// StatusError reports an answer that is a refusal.
type StatusError struct {
	// Address is where the answer came from.
	Address string
	// Status is the HTTP status code.
	Status int
	// Title and Detail are taken from the problem document, if there is one.
	Title, Detail string
}

// Error names the address, the status and the problem.
func (e *StatusError) Error() string {
	text := fmt.Sprintf("%s answered %d", e.Address, e.Status)
	if e.Title != "" {
		text += ": " + e.Title
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// Denied reports whether the bearer token was missing or wrong.
func (e *StatusError) Denied() bool {
	return e.Status == http.StatusUnauthorized || e.Status == http.StatusForbidden
}

// ContentError reports an answer that cannot be understood.
type ContentError struct {
	// Address is where the answer came from.
	Address string
	// Err is the decoder's error.
	Err error
}

// Error names the address and the decoder's error.
func (e *ContentError) Error() string { return fmt.Sprintf("answer of %s: %v", e.Address, e.Err) }

// Unwrap returns the decoder's error.
func (e *ContentError) Unwrap() error { return e.Err }

// Client reads documents over HTTP. It is safe for concurrent use.
type Client struct {
	// token is sent as the bearer token; empty for none.
	token string
	// http makes the requests; it has a time-out.
	http *http.Client
}

// Option changes how a client is made.
type Option func(*Client)

// WithToken makes the client send a bearer token.
func WithToken(token string) Option { return func(c *Client) { c.token = token } }

// WithTimeout bounds each request.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.http.Timeout = d } }

// New returns a client and the function that closes its idle connections.
func New(options ...Option) (*Client, func()) {
	c := &Client{http: &http.Client{Timeout: defaultTimeout, Transport: &http.Transport{}}}
	for _, option := range options {
		option(c)
	}
	return c, c.http.CloseIdleConnections
}

// Get returns the document at path of the process at address. The errors are
// *UnreachableError and *StatusError.
func (c *Client) Get(ctx context.Context, address, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, &UnreachableError{Address: address, Err: err}
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &UnreachableError{Address: address, Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return nil, &UnreachableError{Address: address, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, problem(address, response.StatusCode, body)
	}
	return body, nil
}

// Decode reads the document at path into v. The errors are those of Get and
// *ContentError.
func (c *Client) Decode(ctx context.Context, address, path string, v any) error {
	body, err := c.Get(ctx, address, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return &ContentError{Address: address, Err: err}
	}
	return nil
}

// Published returns all tickets in force at the platform as one batch, with the platform's
// numbers. It begins anew if the platform is restored meanwhile. The errors are those of
// Decode.
func (c *Client) Published(ctx context.Context, address string) (*agatebatch.Batch, error) {
	all := new(agatebatch.Batch)
	for range maxPages {
		page := new(agatebatch.Batch)
		query := url.Values{"after": {strconv.FormatUint(all.Upto, 10)}}
		if all.Era > 0 {
			query.Set("era", strconv.FormatUint(uint64(all.Era), 10))
		}
		if err := c.Decode(ctx, address, "/v1/tickets?"+query.Encode(), page); err != nil {
			return nil, err
		}
		if page.Era != all.Era && all.Upto > 0 {
			all = new(agatebatch.Batch)
			continue
		}
		all.Era, all.Bases = page.Era, page.Bases
		all.Tickets = append(all.Tickets, page.Tickets...)
		all.Upto = max(all.Upto, page.Upto)
		all.Head = max(all.Head, page.Head)
		if all.Upto >= all.Head {
			return all, nil
		}
	}
	return all, nil
}

// problem returns the refusal with what its problem document says.
func problem(address string, status int, body []byte) error {
	var document struct {
		Title  string `json:"title"`
		Detail string `json:"detail"`
	}
	refusal := &StatusError{Address: address, Status: status}
	if json.Unmarshal(body, &document) == nil {
		refusal.Title = document.Title
		refusal.Detail = document.Detail
	}
	return refusal
}
