package agateharness

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"agatereach/bench/agatebackend"
	"agatereach/bench/agatecaller"
	"agatereach/bench/agatefabric"
	"agatereach/bench/agatefault"
	"agatereach/bench/agateplatform"
	"agatereach/bench/agatescenario"
	"agatereach/bench/agateverdict"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateticket"
)

// play lets the events happen at their times.
func (r *runner) play(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, step := range r.scenario.Steps() {
		pause(ctx, time.Until(r.started.Add(step.At.Duration())))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error { return r.apply(ctx, &step) })
	}
	return group.Wait()
}

// apply lets one event happen.
func (r *runner) apply(ctx context.Context, e *agatescenario.Event) error {
	switch e.Kind {
	case agatescenario.AddServer:
		return r.addServers(ctx, e)
	case agatescenario.Drain:
		return r.drain(ctx, e)
	case agatescenario.Reuse:
		return r.reuse(ctx, e)
	case agatescenario.Kill:
		return r.applyKill(ctx, e)
	case agatescenario.Restart:
		return r.restart(ctx, e.Entries[0])
	case agatescenario.Replace:
		return r.replace(ctx, e.Entries[0])
	case agatescenario.Pause, agatescenario.Resume:
		return r.applyPause(ctx, e)
	case agatescenario.Cut, agatescenario.Heal:
		return r.applyCut(ctx, e)
	case agatescenario.Stale, agatescenario.Down, agatescenario.Fresh:
		return r.applyMode(ctx, e)
	case agatescenario.Loss, agatescenario.Dup, agatescenario.Reorder, agatescenario.Delay:
		return r.applyFault(ctx, e)
	case agatescenario.Load:
		return r.applyLoad(ctx, e)
	case agatescenario.Mix:
		return r.applyMix(ctx, e)
	case agatescenario.Mislead:
		return r.applyMislead(ctx, e)
	case agatescenario.Ticket:
		return r.deny(ctx)
	case agatescenario.Restore:
		return r.restore(ctx, e)
	}
	return nil
}

func (r *runner) applyKill(ctx context.Context, e *agatescenario.Event) error {
	switch {
	case len(e.Entries) > 0 && e.Undo:
		return nil
	case len(e.Entries) > 0:
		return r.kill(ctx, e.Entries[0])
	case e.Undo:
		return r.revive(ctx, e)
	}
	return r.killServers(ctx, e)
}

func (r *runner) applyPause(ctx context.Context, e *agatescenario.Event) error {
	paused := e.Kind == agatescenario.Pause && !e.Undo
	if len(e.Entries) > 0 {
		return r.pauseEntry(e.Entries[0], paused)
	}
	return r.pauseServers(ctx, e, paused)
}

// applyCut changes the partitions in force.
func (r *runner) applyCut(ctx context.Context, e *agatescenario.Event) error {
	cuts := cutsOf(e)
	r.change(func() {
		switch {
		case e.Kind == agatescenario.Heal:
			r.cuts = nil
		case e.Undo:
			r.cuts = slices.DeleteFunc(r.cuts, func(c agatefabric.Cut) bool { return slices.Contains(cuts, c) })
		default:
			r.cuts = append(r.cuts, cuts...)
		}
		cuts = append([]agatefabric.Cut{}, r.cuts...)
	})
	if err := r.fabric.Call(ctx, "/cuts", cuts, nil); err != nil {
		return err
	}
	r.noteOutages()
	return nil
}

// cutsOf returns the cuts that an event makes.
func cutsOf(e *agatescenario.Event) []agatefabric.Cut {
	if len(e.Between) == 2 {
		return []agatefabric.Cut{{A: uint16(e.Between[0]), B: uint16(e.Between[1])}}
	}
	var cuts []agatefabric.Cut
	for _, centre := range e.Centres {
		cuts = append(cuts, agatefabric.Cut{A: uint16(centre)})
	}
	return cuts
}

// applyMode changes how the platform behaves.
func (r *runner) applyMode(ctx context.Context, e *agatescenario.Event) error {
	var mode agateplatform.Mode
	r.change(func() {
		switch {
		case e.Kind == agatescenario.Fresh:
			r.mode = agateplatform.Mode{}
		case e.Kind == agatescenario.Down:
			r.mode.Down = !e.Undo
		case e.Kind == agatescenario.Stale:
			r.mode.Stale, r.mode.Back = !e.Undo, uint64(e.Back)
		}
		mode = r.mode
	})
	if err := r.platform.Call(ctx, "/mode", mode, nil); err != nil {
		return err
	}
	r.noteOutages()
	return nil
}

// applyFault changes the faults of the paths that the event names.
func (r *runner) applyFault(ctx context.Context, e *agatescenario.Event) error {
	var faults agatefabric.Faults
	var wire agatebackend.Faults
	r.change(func() {
		if e.Path == "" || e.Path == agatescenario.Callers {
			r.faults.Callers = faulty(r.faults.Callers, e)
		}
		if e.Path == "" || e.Path == agatescenario.Peers {
			r.faults.Peers = faulty(r.faults.Peers, e)
		}
		if e.Path == "" || e.Path == agatescenario.Backends {
			r.wire = faulty(r.wire, e)
		}
		faults, wire = r.faults, r.wire
	})
	if err := r.fabric.Call(ctx, "/faults", faults, nil); err != nil {
		return err
	}
	return r.backend.Call(ctx, "/faults", wire, nil)
}

// faulty returns the fault as the event changes it.
func faulty(f agatefault.Fault, e *agatescenario.Event) agatefault.Fault {
	share, delay, jitter := e.Share, e.Delay.Duration(), e.Jitter.Duration()
	if e.Undo {
		share, delay, jitter = 0, 0, 0
	}
	switch e.Kind {
	case agatescenario.Loss:
		return f.WithLoss(share)
	case agatescenario.Dup:
		return f.WithDup(share)
	case agatescenario.Reorder:
		return f.WithReorder(share)
	case agatescenario.Delay:
		return f.WithDelay(delay, jitter)
	}
	return f
}

// noteLoads notes the loads at the start.
func (r *runner) noteLoads() {
	for i := range r.scenario.Services {
		r.noteLoad(uint32(i+1), r.scenario.Services[i].Load)
	}
}

func (r *runner) noteLoad(service uint32, load float64) {
	r.change(func() {
		step := agateverdict.Step{At: time.Now().UnixMicro(), Service: service, Load: load}
		r.facts.Steps = append(r.facts.Steps, step)
	})
}

// applyLoad changes the load on one service or on all; its end brings the
// first load back.
func (r *runner) applyLoad(ctx context.Context, e *agatescenario.Event) error {
	for i := range r.scenario.Services {
		s := &r.scenario.Services[i]
		if e.Service != "" && e.Service != s.Name {
			continue
		}
		load := e.Load
		if e.Undo {
			load = s.Load
		}
		change := agatecaller.Rate{Service: uint32(i + 1), Rate: s.Rate(load)}
		if err := r.callers.Call(ctx, "/rate", change, nil); err != nil {
			return err
		}
		r.noteLoad(change.Service, load)
	}
	return nil
}

// applyMix changes the share of long requests.
func (r *runner) applyMix(ctx context.Context, e *agatescenario.Event) error {
	id := r.scenario.Number(e.Service)
	mix := mixOf(&r.scenario.Services[id-1])
	if !e.Undo {
		mix.Long = e.Share
	}
	return r.callers.Call(ctx, "/mix", agatecaller.MixChange{Service: id, Mix: mix}, nil)
}

// applyMislead makes health endpoints mislead.
func (r *runner) applyMislead(ctx context.Context, e *agatescenario.Event) error {
	_, numbers := r.chosen(e)
	if e.Share > 0 {
		numbers = r.share(e.Share)
	}
	how := agatebackend.Misleading(e.How)
	if e.Undo {
		how = agatebackend.Honest
	}
	return r.backend.Call(ctx, "/mislead", agatebackend.Mislead{Servers: numbers, How: how}, nil)
}

// publish publishes a ticket and returns when it was accepted.
func (r *runner) publish(ctx context.Context, t agateticket.Ticket) (int64, error) {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	return r.publishNext(ctx, t)
}

// publishNext publishes a ticket under the next number; publishing is held.
func (r *runner) publishNext(ctx context.Context, t agateticket.Ticket) (int64, error) {
	var accepted agateplatform.Accepted
	if err := r.platform.Call(ctx, "/publish", t.WithNumber(r.head+1), &accepted); err != nil {
		return 0, err
	}
	r.head = accepted.Number
	return accepted.At, nil
}

// restore makes the platform lose its newest tickets. The first one is kept.
func (r *runner) restore(ctx context.Context, e *agatescenario.Event) error {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	return r.platform.Call(ctx, "/restore", agateplatform.Restore{Back: min(uint64(e.Back), r.head-1)}, &r.head)
}

// deny publishes a ticket that forbids one more customer, and has the callers
// probe when each entry applies it.
func (r *runner) deny(ctx context.Context) error {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	// Not the ticket's number, which the platform may give out twice.
	number := uint64(len(r.denied)) + 1
	rules := agateruleset.Ruleset{Service: r.probeService(), Default: agateruleset.Allow}
	r.denied = append(r.denied, number)
	for _, ticket := range r.denied {
		rules.Rules = append(rules.Rules, agateruleset.Rule{
			Customer: agatecaller.FirstProbed + uint32(ticket), Effect: agateruleset.Deny,
		})
	}
	at, err := r.publishNext(ctx, agateticket.Ticket{Note: "rules", Rules: []agateruleset.Ruleset{rules}})
	if err != nil {
		return err
	}
	r.change(func() { r.facts.Tickets = append(r.facts.Tickets, agateverdict.Ticket{Number: number, Accepted: at}) })
	return r.callers.Call(ctx, "/probe", number, nil)
}
