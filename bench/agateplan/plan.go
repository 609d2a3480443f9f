// Package agateplan draws the faults of a run from a seed.
package agateplan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"agatereach/bench/agatevalve"
)

// Kind names a fault or a planned change.
type Kind string

// The kinds of steps.
const (
	// Kill ends an entry's process, which is started again after the step's time.
	Kill Kind = "kill"
	// Herd does so with all entries at once.
	Herd Kind = "herd"
	// Terminate asks a process to stop, and starts it again once it has.
	Terminate Kind = "terminate"
	// Pause stops a process for a time.
	Pause Kind = "pause"
	// Reload changes the settings file of an entry, with a signal or without.
	Reload Kind = "reload"
	// StoreOne makes the store fail for one entry, StoreSome for about half of
	// them, and StoreAll for all, each in the step's mode.
	StoreOne  Kind = "storeone"
	StoreSome Kind = "storesome"
	StoreAll  Kind = "storeall"
	// Compact drops the store's history.
	Compact Kind = "compact"
	// Restore makes the store fail Age after the step's begin, for the step's time, and
	// come back as it was at the begin. What was written since is lost and then written
	// again; Deep makes removals wait for the servers' leases instead.
	Restore Kind = "restore"
	// Garble writes what is no registration into the store, and takes it away.
	Garble Kind = "garble"
	// Lossy makes the datagrams to one entry from the others late and lost.
	Lossy Kind = "lossy"
	// Burst makes the callers' packets late, lost, doubled and overtaken.
	Burst Kind = "burst"
	// CutEntry cuts an entry off from the others; Deep from the servers too.
	CutEntry Kind = "cutentry"
	// CutCentre cuts a data centre off from the others and from the store.
	CutCentre Kind = "cutcentre"
	// Crash ends a backend server, which is started again under its id; Deep
	// servers do not come back, and their address goes to another service.
	Crash Kind = "crash"
	// Freeze makes a backend server silent for a time.
	Freeze Kind = "freeze"
	// Replace starts a backend server and empties another one.
	Replace Kind = "replace"
	// Config changes the configuration, and Storm does so several times.
	Config Kind = "config"
	Storm  Kind = "storm"
	// Back harms the packets from the servers to one caller's address, or Deep to a
	// third of them, while those of the callers arrive.
	Back Kind = "back"
	// Outward loses packets from one entry to the servers of a data centre, or Deep to
	// all servers, while its datagrams to other entries arrive.
	Outward Kind = "outward"
	// Full makes a backend server, or Deep those of a data centre, send nothing to SYNs
	// and serve their open flows.
	Full Kind = "full"
	// Linger empties a backend server, which serves its open flows for the step's time
	// after its registration is gone.
	Linger Kind = "linger"
	// Lapse takes away the registration of a backend server, or Deep of several, for
	// the step's time.
	Lapse Kind = "lapse"
	// Claim writes a registration under a backend server's id, with its start time and
	// another address: that of another server, or Deep one where none is. The server
	// writes its own again after the step's time.
	Claim Kind = "claim"
	// ZeroID writes a registration under the id 0, which is no server's, with the address of
	// a backend server of another service, and takes it away after the step's time.
	ZeroID Kind = "zeroid"
	// Slow makes a share of the requests take long.
	Slow Kind = "slow"
	// Late makes a share of the callers' packets arrive once more, late.
	Late Kind = "late"
	// Evacuate evacuates a data centre and takes it back after the step's time. Deep
	// takes one back and evacuates it again if it is evacuated already.
	Evacuate Kind = "evacuate"
	// Cold ends a backend server of the service with a limit, or Deep all of them, which
	// start again after the step's time and are cold.
	Cold Kind = "cold"
	// Beyond asks that service for more than its servers can do.
	Beyond Kind = "beyond"
)

// kinds are drawn evenly, Herd and the cuts of all more rarely.
var kinds = []Kind{
	Kill, Kill, Terminate, Terminate, Pause, Pause, Reload, StoreOne, StoreSome, StoreAll, Compact, Garble,
	Lossy, Lossy, Burst, CutEntry, CutEntry, CutCentre, Crash, Crash, Freeze, Replace, Replace, Config, Config, Storm, Herd,
}

// serving are the kinds that disturb no backend server, with their shortest and
// longest times. They are drawn evenly, those that stand twice more often.
var serving = []struct {
	kind        Kind
	least, most time.Duration
}{
	{Back, 500 * time.Millisecond, 4 * time.Second},
	{Back, 500 * time.Millisecond, 4 * time.Second},
	{Outward, 500 * time.Millisecond, 4 * time.Second},
	{Outward, 500 * time.Millisecond, 4 * time.Second},
	{Full, 500 * time.Millisecond, 4 * time.Second},
	{Linger, 3 * time.Second, 8 * time.Second},
	{Lapse, time.Second, 3 * time.Second},
	{Slow, 3 * time.Second, 20 * time.Second},
	{Late, 500 * time.Millisecond, 4 * time.Second},
}

// own are the kinds with a source of their own, which stream chooses, with the time
// between two steps, on average, and their shortest and longest times.
var own = []struct {
	kind             Kind
	stream           uint64
	gap, least, most time.Duration
}{
	{Evacuate, 0xe7ac, 6 * time.Second, 3500 * time.Millisecond, 9 * time.Second},
	{Cold, 0xc01d, 6 * time.Second, time.Second, 2500 * time.Millisecond},
	{Beyond, 0xbe70, 8 * time.Second, 2 * time.Second, 4 * time.Second},
	{ZeroID, 0x1d00, 6 * time.Second, 500 * time.Millisecond, 2 * time.Second},
}

// Step is one fault or change.
type Step struct {
	// At is when it begins, and For how long it lasts.
	At, For time.Duration
	Kind    Kind
	// Place chooses what it meets, by its remainder.
	Place uint32
	// Mode is that of a store that fails.
	Mode agatevalve.Mode
	// Deep makes it the harder variant.
	Deep bool
	// Age is how old the copy of a Restore is when the store fails.
	Age time.Duration
}

const (
	// gap is the time between two steps, on average; series come together.
	gap = 900 * time.Millisecond
	// seriesShare is the share of steps that are followed by a series of the same
	// kind, of up to maxSeries steps a seriesGap apart.
	seriesShare = 0.15
	maxSeries   = 4
	seriesGap   = 300 * time.Millisecond
	// restoreGap is the time between two restores, on average, and maxAge the
	// greatest age of a copy.
	restoreGap = 10 * time.Second
	maxAge     = 10 * time.Second
	// claimGap is the time between two steps of kind Claim, on average, and maxClaim the
	// longest time of one: the interval at which servers write.
	claimGap = 6 * time.Second
	maxClaim = 1200 * time.Millisecond
	// servingGap is the time between two steps of serving kinds, on average.
	servingGap = 900 * time.Millisecond
	minFor     = 200 * time.Millisecond
	maxFor     = 5 * time.Second
)

// New draws the steps from begin to end, in the order of their times. All are
// over at the end.
func New(seed uint64, begin, end time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0x5eed))
	var steps []Step
	at := begin
	for {
		at += time.Duration(random.ExpFloat64() * float64(gap))
		if at >= end {
			break
		}
		step := draw(random, at, end)
		steps = append(steps, step)
		if random.Float64() < seriesShare {
			steps = append(steps, series(random, step, end)...)
		}
	}
	steps = append(steps, restores(seed, begin, end)...)
	steps = append(steps, servingSteps(seed, begin, end)...)
	steps = append(steps, claims(seed, begin, end)...)
	steps = append(steps, ownSteps(seed, begin, end)...)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// restores draws the restores. They have a source of their own, so that they change
// none of a seed's other steps.
func restores(seed uint64, begin, end time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0xc09e))
	var steps []Step
	for at := begin; ; {
		at += time.Duration(random.ExpFloat64() * float64(restoreGap))
		if at >= end {
			return steps
		}
		step := draw(random, at, end)
		step.Kind = Restore
		step.Age = min(time.Duration(random.Float64()*float64(maxAge)), end-at-step.For)
		steps = append(steps, step)
	}
}

// servingSteps draws the steps of the serving kinds, from a source of their own.
func servingSteps(seed uint64, begin, end time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0x11fe))
	var steps []Step
	for at := begin; ; {
		at += time.Duration(random.ExpFloat64() * float64(servingGap))
		if at >= end {
			return steps
		}
		step := draw(random, at, end)
		drawn := serving[random.IntN(len(serving))]
		step.Kind = drawn.kind
		step.For = min(drawn.least+time.Duration(random.Float64()*float64(drawn.most-drawn.least)), end-at)
		steps = append(steps, step)
	}
}

// claims draws the steps of kind Claim, from a source of their own.
func claims(seed uint64, begin, end time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0xc1a1))
	var steps []Step
	for at := begin; ; {
		at += time.Duration(random.ExpFloat64() * float64(claimGap))
		if at >= end {
			return steps
		}
		step := draw(random, at, end)
		step.Kind = Claim
		step.For = min(minFor+time.Duration(random.Float64()*float64(maxClaim-minFor)), end-at)
		steps = append(steps, step)
	}
}

// ownSteps draws the steps of the kinds that have a source of their own, some in series.
func ownSteps(seed uint64, begin, end time.Duration) []Step {
	var steps []Step
	for _, kind := range own {
		random := rand.New(rand.NewPCG(seed, seed^kind.stream))
		for at := begin; ; {
			at += time.Duration(random.ExpFloat64() * float64(kind.gap))
			if at >= end {
				break
			}
			step := draw(random, at, end)
			step.Kind = kind.kind
			step.For = min(kind.least+time.Duration(random.Float64()*float64(kind.most-kind.least)), end-at)
			steps = append(steps, step)
			if random.Float64() < seriesShare {
				steps = append(steps, series(random, step, end)...)
			}
		}
	}
	return steps
}

// draw returns a step at a time.
func draw(random *rand.Rand, at, end time.Duration) Step {
	lasts := minFor + time.Duration(random.Float64()*random.Float64()*float64(maxFor-minFor))
	return Step{
		At: at, For: min(lasts, end-at), Kind: kinds[random.IntN(len(kinds))], Place: random.Uint32(),
		Mode: agatevalve.Modes[random.IntN(len(agatevalve.Modes))], Deep: random.IntN(2) == 0,
	}
}

// series returns more steps of a kind, each elsewhere.
func series(random *rand.Rand, first Step, end time.Duration) []Step {
	var steps []Step
	for range 1 + random.IntN(maxSeries) {
		next := first
		next.At += time.Duration(1+len(steps)) * seriesGap
		next.Place = random.Uint32()
		next.For = min(next.For, end-next.At)
		if next.At < end && first.Kind != Herd {
			steps = append(steps, next)
		}
	}
	return steps
}
