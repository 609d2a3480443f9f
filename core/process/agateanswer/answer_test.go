package agateanswer_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/process/agateanswer"
	"agatereach/core/process/agateseed"
)

func TestMain(m *testing.M) { agateseed.Main(m) }

var policy = agateanswer.Policy{Short: 0.45, Failed: 0.5, Least: 0.02, Limit: 6, Even: 3, Memory: 0.98, Told: 2}

// service plays servers that answer at one virtual address.
type service struct {
	usual   agateanswer.Usual
	servers []agateanswer.Evidence
	random  *rand.Rand
}

func newService(servers int) *service {
	return &service{servers: make([]agateanswer.Evidence, servers), random: rand.New(rand.NewPCG(1, 2))}
}

// answer lets a server answer.
func (s *service) answer(server int, size uint32) {
	e := &s.servers[server]
	held := e.Held(policy)
	*e = e.Add(s.usual.Judge(size, policy), policy)
	if !held {
		s.usual.Learn(size, policy)
	}
}

// varied returns a size around the mean, as widely spread as answers with content are.
func (s *service) varied(mean float64) uint32 {
	return uint32(mean * math.Exp(0.6*s.random.NormFloat64()-0.18))
}

// decay lets some time pass.
func (s *service) decay() {
	for i := range s.servers {
		s.servers[i] = s.servers[i].Decay(policy)
	}
}

// TestFailing plays ten servers of which one answers with short errors from some
// moment on, and draws most of the requests: it is held to fail after few of
// them, no other ever is, and it is taken back when it answers rightly.
func TestFailing(t *testing.T) {
	for _, size := range []struct {
		name   string
		answer func(*service) uint32
		within int
	}{
		{"equal answers", func(*service) uint32 { return 830 }, 4},
		{"short answers", func(*service) uint32 { return 530 }, 4},
		{"varied answers", func(s *service) uint32 { return s.varied(2000) }, 12},
	} {
		t.Run(size.name, func(t *testing.T) {
			s := newService(10)
			for i := range 1200 {
				s.answer(i%10, size.answer(s))
				if i%10 == 0 {
					s.decay()
				}
			}
			failed := 0
			for !s.servers[0].Held(policy) && failed < 50 {
				s.answer(0, 208)
				failed++
				s.answer(1+failed%9, size.answer(s))
			}
			if failed > size.within {
				t.Errorf("held after %d failures, want %d at most", failed, size.within)
			}
			for i, c := range s.servers[1:] {
				if c.Held(policy) {
					t.Errorf("server %d is held to fail: %v", i+1, c)
				}
			}
			for range 200 {
				s.answer(0, size.answer(s))
				s.decay()
			}
			if s.servers[0].Held(policy) {
				t.Errorf("not taken back: %v", s.servers[0])
			}
		})
	}
}

// TestVaried plays answers that vary widely for long: hardly ever is a server held
// to fail by chance.
func TestVaried(t *testing.T) {
	s := newService(10)
	held := 0
	const answers = 100000
	for i := range answers {
		before := s.servers[i%10].Held(policy)
		s.answer(i%10, s.varied(2000))
		if !before && s.servers[i%10].Held(policy) {
			held++
		}
		if i%10 == 0 {
			s.decay()
		}
	}
	if held > answers/5000 {
		t.Errorf("%d times in %d answers", held, answers)
	}
}

// TestManyFail lets a third of the servers fail: what is usual does not become
// what failures look like.
func TestManyFail(t *testing.T) {
	s := newService(9)
	for i := range 300 {
		s.answer(i%9, 830)
	}
	for range 400 {
		// Failures come twice as often, since who fails is soon done.
		for server := range 9 {
			if server < 3 {
				s.answer(server, 208)
				s.answer(server, 208)
				continue
			}
			s.answer(server, 830)
		}
		s.decay()
	}
	for server, c := range s.servers {
		if c.Held(policy) != (server < 3) {
			t.Errorf("server %d: %v", server, c)
		}
	}
}

// TestCommon lets all servers answer shortly at once, as at a crest beyond what
// they can serve: none is told from the others for long.
func TestCommon(t *testing.T) {
	s := newService(6)
	for i := range 300 {
		s.answer(i%6, 830)
	}
	for i := range 3000 {
		s.answer(i%6, 208)
		if i%6 == 0 {
			s.decay()
		}
	}
	low, high := 1.0, 0.0
	for _, c := range s.servers {
		low, high = min(low, c.Failing(policy)), max(high, c.Failing(policy))
	}
	if high-low > 0.1 {
		t.Errorf("shares of failures from %.2f to %.2f", low, high)
	}
}

// TestNew plays an address whose first answers vary: no server is held to fail
// while little is known of them.
func TestNew(t *testing.T) {
	held := 0
	for seed := range uint64(50) {
		s := newService(10)
		s.random = rand.New(rand.NewPCG(seed, 3))
		for i := range 100 {
			s.answer(i%10, s.varied(2000))
		}
		for _, e := range s.servers {
			if e.Held(policy) {
				held++
			}
		}
	}
	// Of 500 servers.
	if held > 5 {
		t.Errorf("%d servers are held to fail", held)
	}
}

// TestEnds lets a server end a flow in an answer's place, at an address of which
// nothing else is known: it is held to fail at once.
func TestEnds(t *testing.T) {
	s := newService(2)
	s.answer(0, s.varied(2000))
	s.answer(1, 1)
	if !s.servers[1].Held(policy) || s.servers[0].Held(policy) {
		t.Errorf("evidence %v", s.servers)
	}
}

// TestBounds draws answers: the share of failures stays from 0 to 1, and falls to
// nothing once a server answers nothing.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var usual agateanswer.Usual
		var c agateanswer.Evidence
		for _, size := range rapid.SliceOfN(rapid.Uint32Range(0, 5000), 1, 200).Draw(t, "sizes") {
			c = c.Add(usual.Judge(size, policy), policy)
			usual.Learn(size, policy)
			if f := c.Failing(policy); f < 0 || f > 1 {
				t.Fatalf("share %v of %v", f, c)
			}
		}
		for range 400 {
			c = c.Decay(policy)
		}
		if c.Failing(policy) > 0.01 {
			t.Fatalf("still %v", c.Failing(policy))
		}
	})
}
