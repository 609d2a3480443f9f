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

var policy = agateanswer.Policy{ShortRatio: 0.45, FailingShortShare: 0.5, HealthyShortShare: 0.02, MaxEvidence: 6, FailingThreshold: 3, DecayFactor: 0.98, ReportThreshold: 2}

// simulation simulates servers that answer at one virtual address.
type simulation struct {
	usual   agateanswer.Baseline
	servers []agateanswer.Evidence
	random  *rand.Rand
}

func newSimulation(servers int) *simulation {
	return &simulation{servers: make([]agateanswer.Evidence, servers), random: rand.New(rand.NewPCG(1, 2))}
}

// answer processes an answer of a server.
func (s *simulation) answer(server int, size uint32) {
	e := &s.servers[server]
	held := e.IsFailing(policy)
	*e = e.Add(s.usual.Score(size, policy), policy)
	if !held {
		s.usual.Observe(size, policy)
	}
}

// randomSize returns a random size with the given mean and a spread like that of
// answers with content.
func (s *simulation) randomSize(mean float64) uint32 {
	return uint32(mean * math.Exp(0.6*s.random.NormFloat64()-0.18))
}

// decay lets the evidence on all servers decay once.
func (s *simulation) decay() {
	for i := range s.servers {
		s.servers[i] = s.servers[i].Decay(policy)
	}
}

// TestFailingServerDetected simulates ten servers, one of which begins to answer with
// short errors and attracts most of the requests. It must count as failing after
// few requests and as healthy again once it answers normally; no other server may
// count as failing.
func TestFailingServerDetected(t *testing.T) {
	for _, c := range []struct {
		name        string
		size        func(*simulation) uint32
		maxFailures int
	}{
		{"equal answers", func(*simulation) uint32 { return 830 }, 4},
		{"short answers", func(*simulation) uint32 { return 530 }, 4},
		{"varied answers", func(s *simulation) uint32 { return s.randomSize(2000) }, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(10)
			for i := range 1200 {
				s.answer(i%10, c.size(s))
				if i%10 == 0 {
					s.decay()
				}
			}
			failures := 0
			for !s.servers[0].IsFailing(policy) && failures < 50 {
				s.answer(0, 208)
				failures++
				s.answer(1+failures%9, c.size(s))
			}
			if failures > c.maxFailures {
				t.Errorf("detected after %d failures, want at most %d", failures, c.maxFailures)
			}
			for i, evidence := range s.servers[1:] {
				if evidence.IsFailing(policy) {
					t.Errorf("healthy server %d counts as failing: evidence %v", i+1, evidence)
				}
			}
			for range 200 {
				s.answer(0, c.size(s))
				s.decay()
			}
			if s.servers[0].IsFailing(policy) {
				t.Errorf("recovered server counts as failing: evidence %v", s.servers[0])
			}
		})
	}
}

// TestVaryingSizesRarelyDetected checks that among answers of widely varying sizes
// at most one in 5,000 makes a healthy server count as failing by chance.
func TestVaryingSizesRarelyDetected(t *testing.T) {
	s := newSimulation(10)
	detected := 0
	const answers = 100000
	for i := range answers {
		before := s.servers[i%10].IsFailing(policy)
		s.answer(i%10, s.randomSize(2000))
		if !before && s.servers[i%10].IsFailing(policy) {
			detected++
		}
		if i%10 == 0 {
			s.decay()
		}
	}
	if detected > answers/5000 {
		t.Errorf("healthy servers counted as failing %d times in %d answers", detected, answers)
	}
}

// TestThirdOfServersFailing checks that failures don't become the baseline when a
// third of the servers fail.
func TestThirdOfServersFailing(t *testing.T) {
	s := newSimulation(9)
	for i := range 300 {
		s.answer(i%9, 830)
	}
	for range 400 {
		// A failing server finishes sooner and gets twice as many requests.
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
	for server, evidence := range s.servers {
		if evidence.IsFailing(policy) != (server < 3) {
			t.Errorf("server %d (0 to 2 fail): evidence %v", server, evidence)
		}
	}
}

// TestAllServersFailing lets all servers give short answers at once, as at a load
// peak above their capacity, and checks that their estimated failure probabilities
// converge.
func TestAllServersFailing(t *testing.T) {
	s := newSimulation(6)
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
		low, high = min(low, c.FailureProbability(policy)), max(high, c.FailureProbability(policy))
	}
	if high-low > 0.1 {
		t.Errorf("failure probabilities from %.2f to %.2f, want a difference of at most 0.1", low, high)
	}
}

// TestFewAnswersNotDetected checks that varying sizes of the first 100 answers at a
// virtual address make at most 5 of 500 healthy servers count as failing.
func TestFewAnswersNotDetected(t *testing.T) {
	detected := 0
	for seed := range uint64(50) {
		s := newSimulation(10)
		s.random = rand.New(rand.NewPCG(seed, 3))
		for i := range 100 {
			s.answer(i%10, s.randomSize(2000))
		}
		for _, e := range s.servers {
			if e.IsFailing(policy) {
				detected++
			}
		}
	}
	// There are 500 servers in the 50 runs.
	if detected > 5 {
		t.Errorf("%d of 500 healthy servers count as failing, want at most 5", detected)
	}
}

// TestFlowEndIsFailure checks that a server that ends a flow instead of answering
// counts as failing at once, even at a virtual address with hardly any answers.
func TestFlowEndIsFailure(t *testing.T) {
	s := newSimulation(2)
	s.answer(0, s.randomSize(2000))
	s.answer(1, 1)
	if !s.servers[1].IsFailing(policy) || s.servers[0].IsFailing(policy) {
		t.Errorf("evidence %v, want only the second server to count as failing", s.servers)
	}
}

// TestFailureShareBounds checks, for random sizes, that the failure probability stays
// within 0 to 1 and decays to nearly 0 without further answers.
func TestFailureShareBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var usual agateanswer.Baseline
		var evidence agateanswer.Evidence
		for _, size := range rapid.SliceOfN(rapid.Uint32Range(0, 5000), 1, 200).Draw(t, "sizes") {
			evidence = evidence.Add(usual.Score(size, policy), policy)
			usual.Observe(size, policy)
			if f := evidence.FailureProbability(policy); f < 0 || f > 1 {
				t.Fatalf("failure probability %v for evidence %v, want 0 to 1", f, evidence)
			}
		}
		for range 400 {
			evidence = evidence.Decay(policy)
		}
		if evidence.FailureProbability(policy) > 0.01 {
			t.Fatalf("failure probability %v after 400 decays, want at most 0.01", evidence.FailureProbability(policy))
		}
	})
}
