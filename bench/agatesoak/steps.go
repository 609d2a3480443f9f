package agatesoak

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"agatereach/bench/agatefault"
	"agatereach/bench/agateground"
	"agatereach/bench/agateplan"
	"agatereach/bench/agatepromise"
	"agatereach/bench/agatevalve"
	"agatereach/platform/agatestandin"
)

// Faults of the paths.
var (
	lossy = agatefault.Fault{Loss: 0.3, Reorder: 0.1, Delay: 5 * time.Millisecond, Jitter: 60 * time.Millisecond}
	burst = agatefault.Fault{Loss: 0.05, Dup: 0.05, Reorder: 0.1, Jitter: 5 * time.Millisecond}
)

// StartError reports entries that did not become ready.
type StartError struct {
	// Ready is the number of those that are, and Entries that of all.
	Ready, Entries int
}

// Error gives both numbers.
func (e *StartError) Error() string {
	return fmt.Sprintf("%d of %d entries are ready", e.Ready, e.Entries)
}

// wanted reports whether steps of a kind are made.
func wanted(only []agateplan.Kind, kind agateplan.Kind) bool {
	return len(only) == 0 || slices.Contains(only, kind)
}

// makeSteps makes each step at its time and waits until all are over.
func (s *soak) makeSteps(steps []agateplan.Step) {
	for _, step := range steps {
		if !s.sleep(step.At - s.now()) {
			break
		}
		if s.options.Told != nil {
			s.options.Told(s.now(), step)
		}
		s.steps.Add(1)
		go func() {
			defer s.steps.Done()
			s.make(step)
		}()
	}
	s.steps.Wait()
}

// make makes one step and returns when it is over.
func (s *soak) make(step agateplan.Step) {
	place := 1 + int(step.Place)%s.options.Entries
	e := s.entries[place]
	switch step.Kind {
	case agateplan.Kill:
		s.kill(step, e)
	case agateplan.Herd:
		s.herd(step)
	case agateplan.Terminate:
		s.terminate(e)
	case agateplan.Pause:
		s.disturb(step, place)
		e.pause(1)
		s.sleep(step.For)
		e.pause(-1)
	case agateplan.Reload:
		s.reload(step, e)
	case agateplan.StoreOne, agateplan.StoreSome, agateplan.StoreAll:
		s.failStore(step, place)
	case agateplan.Compact:
		s.record.Disturbed("", s.now(), s.now())
		s.store.Compact()
	case agateplan.Restore:
		s.restore(step)
	case agateplan.Garble:
		s.store.RegisterMalformed(uint64(step.Place))
		s.sleep(step.For)
		s.store.Remove(uint64(step.Place))
	case agateplan.Lossy:
		s.disturb(step, place)
		s.detour.Path(place).Set(lossy)
		s.sleep(step.For)
		s.detour.Path(place).Set(agatefault.Fault{})
	case agateplan.Burst:
		s.disturb(step, 0)
		s.crowd.Path().Set(burst)
		s.sleep(step.For)
		s.crowd.Path().Set(agatefault.Fault{})
	case agateplan.CutEntry:
		s.disturb(step, place)
		heal := s.partition.CutEntry(place, step.Deep)
		s.sleep(step.For)
		heal()
	case agateplan.CutCentre:
		s.cutCentre(step, place)
	case agateplan.Evacuate:
		s.evacuate(step)
	case agateplan.Cold:
		s.restartCold(step)
	case agateplan.Beyond:
		s.surge(step)
	case agateplan.Back, agateplan.Outward, agateplan.Full, agateplan.Linger, agateplan.Lapse, agateplan.Claim, agateplan.ZeroID, agateplan.Slow, agateplan.Late:
		s.makeServingStep(step, place)
	default:
		s.makeServerStep(step)
	}
}

// disturb notes that the entry at a place, or all for 0, is disturbed by a step.
func (s *soak) disturb(step agateplan.Step, place int) {
	name := ""
	if place > 0 {
		name = agateground.VM(place)
	}
	s.record.Disturbed(name, s.now(), s.now()+step.For)
}

// restart is the time in which a process is ready again.
const restart = time.Second

// kill ends the entry's process, and starts it again after the step's time.
func (s *soak) kill(step agateplan.Step, e *entry) {
	s.record.Disturbed(agateground.VM(e.place), s.now(), s.now()+step.For+restart)
	e.kill()
	s.sleep(step.For)
	s.start(e)
}

// herd kills all processes at once.
func (s *soak) herd(step agateplan.Step) {
	for _, e := range s.entries {
		s.steps.Add(1)
		go func() {
			defer s.steps.Done()
			s.kill(step, e)
		}()
	}
}

// terminate asks the entry's process to stop and starts it again. Only the signal and the
// start disturb the entry: what it forwards in between is judged.
func (s *soak) terminate(e *entry) {
	name := agateground.VM(e.place)
	child := e.leave()
	if child == nil {
		return
	}
	s.record.Disturbed(name, s.now(), s.now())
	// A process that is paused stops once it goes on.
	if !child.Wait(grace + maxPause) {
		s.record.Broke(agatepromise.Process, s.now(), "%s did not stop within %v", name, grace)
		child.Kill()
	}
	ended := s.now()
	e.left()
	s.start(e)
	s.record.Disturbed(name, ended, s.now()+restart)
}

// maxPause is the longest time for which a step pauses a process.
const maxPause = 5 * time.Second

// reload changes the seeds in the entry's settings.
func (s *soak) reload(step agateplan.Step, e *entry) {
	if err := s.configure(e, int(step.Place%1000)); err != nil {
		s.fail(err)
		return
	}
	if step.Deep {
		e.signal(syscall.SIGHUP)
	}
}

// failStore makes the store fail for some entries.
func (s *soak) failStore(step agateplan.Step, place int) {
	var places []int
	for each := 1; each <= s.options.Entries; each++ {
		half := step.Kind == agateplan.StoreSome && (uint32(each)+step.Place)%2 == 0
		if step.Kind == agateplan.StoreAll || half || each == place {
			places = append(places, each)
		}
	}
	if step.Kind == agateplan.StoreAll {
		s.disturb(step, 0)
	}
	for _, each := range places {
		s.disturb(step, each)
		s.valves[each].Set(step.Mode)
	}
	s.sleep(step.For)
	for _, each := range places {
		s.valves[each].Set(agatevalve.Open)
	}
}

// maxRewrite is the longest time after a restore in which what was lost is written
// again.
const maxRewrite = 1500 * time.Millisecond

// restore makes the store come back from a copy. The operator and the servers that
// still run write again what was lost.
func (s *soak) restore(step agateplan.Step) {
	c := s.store.Copy()
	s.sleep(step.Age)
	s.disturb(step, 0)
	for _, valve := range s.valves {
		valve.Set(step.Mode)
	}
	s.sleep(step.For)
	s.mutex.Lock()
	s.noteEvacuations(false)
	lost := s.store.Restore(c)
	s.mutex.Unlock()
	for _, valve := range s.valves {
		valve.Set(agatevalve.Open)
	}
	s.record.Disturbed("", s.now(), s.now())
	var writers sync.WaitGroup
	for i, item := range lost {
		delay := time.Duration(step.Place>>(i%16)%16) * maxRewrite / 15
		if item.Tombstone && step.Deep {
			delay = expiry
		}
		writers.Go(func() {
			s.sleep(delay)
			id, server := agatestandin.Server(item)
			if !server || item.Tombstone || s.farm.Runs(id) {
				s.store.Repeat(item.Key)
			}
		})
	}
	writers.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.noteEvacuations(true)
}

// cutCentre cuts off the data centre of a place.
func (s *soak) cutCentre(step agateplan.Step, place int) {
	centre := s.ground.Centre(place)
	s.disturb(step, 0)
	for _, server := range s.farm.Living() {
		s.record.Troubled(server, s.now(), s.now()+step.For)
	}
	heal := s.partition.CutCentre(centre)
	s.sleep(step.For)
	heal()
}

// evacuate evacuates a data centre and takes it back. Another data centre that is
// evacuated stays the only one, so that services keep most of their servers.
func (s *soak) evacuate(step agateplan.Step) {
	s.record.Harmed(s.now() + step.For)
	centre := s.ground.Centre(int(step.Place))
	s.mutex.Lock()
	for other, count := range s.evacuated {
		if count > 0 {
			centre = other
		}
	}
	s.evacuated[centre]++
	if step.Deep && s.evacuated[centre] > 1 {
		s.record.Evacuated(centre, false, s.now())
		s.store.TakeBack(centre)
	}
	s.store.Evacuate(centre)
	s.record.Evacuated(centre, true, s.now())
	s.mutex.Unlock()
	s.sleep(step.For)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.evacuated[centre]--; s.evacuated[centre] == 0 {
		s.record.Evacuated(centre, false, s.now())
		s.store.TakeBack(centre)
	}
}

// noteEvacuations notes that the evacuations under way were lost, or are written again.
// The caller holds the mutex.
func (s *soak) noteEvacuations(active bool) {
	for centre, count := range s.evacuated {
		if count > 0 {
			s.record.Evacuated(centre, active, s.now())
		}
	}
}
