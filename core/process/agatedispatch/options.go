package agatedispatch

import (
	"net/netip"
	"time"

	"agatereach/core/connection/agateguard"
	"agatereach/core/process/agatebalance"
	"agatereach/core/process/agatehealth"
	"agatereach/core/process/agatelimit"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agateteam"
)

// Balancer places the work of one service.
type Balancer interface {
	SetServers(now time.Time, servers []agatebalance.Server) []agatebalance.Decision
	Submit(now time.Time, w agatebalance.Work) agatebalance.Decision
	Done(now time.Time, id uint64, r agatebalance.Result) []agatebalance.Decision
	Report(now time.Time, server uint32, r agatebalance.Report) []agatebalance.Decision
	Tick(now time.Time) []agatebalance.Decision
	Open(now time.Time, flow uint64) (server uint32, ok bool)
	Hot() bool
	SetShares(shares map[string]uint32)
	SetPolicy(now time.Time, name string) []agatebalance.Decision
}

// OpenLimiter limits the opens of each caller prefix.
type OpenLimiter interface {
	Allow(now time.Time, service uint32, caller netip.Addr) bool
}

// TeamLimiter limits the opens and requests of each team.
type TeamLimiter interface {
	Set(now time.Time, teams []agateteam.Team, entries int)
	Allow(now time.Time, team string) bool
	Wait(now time.Time, team string) time.Duration
}

// settings holds the values set by options.
type settings struct {
	seed          uint64
	key           *agatekeyring.Key
	balancer      func(*agateservice.Service) Balancer
	openLimiter   OpenLimiter
	teamLimiter   TeamLimiter
	guard         []agateguard.Option
	health        []agatehealth.Option
	inflightLimit int
}

// defaultInflight is the default limit on requests in flight.
const defaultInflight = 1 << 16

func defaults() settings {
	return settings{
		balancer:      func(*agateservice.Service) Balancer { return agatebalance.New() },
		key:           new(agatekeyring.Key),
		openLimiter:   agatelimit.NewOpeners(),
		teamLimiter:   agatelimit.NewTeams(),
		inflightLimit: defaultInflight,
	}
}

// Option sets a property of a Dispatcher.
type Option func(*settings)

// WithSeed sets the number after which attempts are numbered. It should be
// random, so that no two processes use the same numbers.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithSecret sets the key that authenticates routes. It should be random, the
// same within the process and known to no other process.
func WithSecret(key *agatekeyring.Key) Option { return func(s *settings) { s.key = key } }

// WithBalancer sets the function that creates the balancer of a service.
func WithBalancer(create func(*agateservice.Service) Balancer) Option {
	return func(s *settings) { s.balancer = create }
}

// WithOpeners sets the limiter for the opens of each caller prefix.
func WithOpeners(o OpenLimiter) Option { return func(s *settings) { s.openLimiter = o } }

// WithTeamLimiter sets the limiter for the teams.
func WithTeamLimiter(t TeamLimiter) Option { return func(s *settings) { s.teamLimiter = t } }

// WithGuard sets the options of the guard.
func WithGuard(options ...agateguard.Option) Option {
	return func(s *settings) { s.guard = options }
}

// WithHealth sets the options of the health tracking of backend servers.
func WithHealth(options ...agatehealth.Option) Option {
	return func(s *settings) { s.health = options }
}

// WithInflight sets the limit on requests in flight.
func WithInflight(limit int) Option { return func(s *settings) { s.inflightLimit = max(limit, 1) } }
