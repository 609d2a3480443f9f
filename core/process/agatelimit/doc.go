// Package agatelimit limits the rate of opens for each caller prefix, the rate
// of requests for each team, and the number of requests in flight to a backend
// server.
package agatelimit
