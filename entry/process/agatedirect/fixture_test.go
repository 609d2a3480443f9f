package agatedirect_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"agatereach/core/process/agatedump"
	"agatereach/core/process/agatesetup"
	"agatereach/core/request/agateaddress"
	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatechange"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
	"agatereach/entry/process/agatedirect"
	"agatereach/entry/process/agatelogsink"
)

// waitTimeout bounds each wait. The awaited events take milliseconds.
const waitTimeout = 10 * time.Second

// testCodec implements a packet format for tests: a header of headerSize bytes.
type testCodec struct{ callerPort uint16 }

const headerSize = 26

type errShortPacket struct{}

func (errShortPacket) Error() string { return "short packet" }

func (testCodec) Decode(p []byte) (agatesegment.Segment, error) {
	if len(p) < headerSize {
		return agatesegment.Segment{}, errShortPacket{}
	}
	return agatesegment.Segment{
		Flow: agatetuple.Tuple{
			Source: [4]byte(p[0:4]), Target: [4]byte(p[4:8]),
			SourcePort: binary.BigEndian.Uint16(p[8:]), TargetPort: binary.BigEndian.Uint16(p[10:]),
		},
		Sequence: binary.BigEndian.Uint32(p[12:]), Acknowledged: binary.BigEndian.Uint32(p[16:]),
		Token: binary.BigEndian.Uint32(p[20:]), Flags: agatesegment.Flags(p[24]), Length: uint16(p[25]),
	}, nil
}

func encode(s agatesegment.Segment) []byte {
	p := append(append([]byte{}, s.Flow.Source[:]...), s.Flow.Target[:]...)
	p = binary.BigEndian.AppendUint16(p, s.Flow.SourcePort)
	p = binary.BigEndian.AppendUint16(p, s.Flow.TargetPort)
	p = binary.BigEndian.AppendUint32(p, s.Sequence)
	p = binary.BigEndian.AppendUint32(p, s.Acknowledged)
	p = binary.BigEndian.AppendUint32(p, s.Token)
	return append(p, byte(s.Flags), byte(s.Length))
}

func (testCodec) SetToken(p []byte, token uint32) { binary.BigEndian.PutUint32(p[20:], token) }

func (testCodec) AppendPrefix(prefix []byte, server uint64) []byte {
	return binary.BigEndian.AppendUint64(prefix, server)
}

func (testCodec) Reset(flow agatetuple.Tuple, sequence uint32) []byte {
	return encode(agatesegment.Segment{Flow: flow, Sequence: sequence, Flags: agatesegment.RST})
}

func (c testCodec) CallerAddress(flow agatetuple.Tuple) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(flow.Source), c.callerPort)
}

var errUnavailable = errors.New("fake store unavailable")

// fakeStore is an in-memory store. It is safe for concurrent use.
type fakeStore struct {
	mutex       sync.Mutex
	state       agatechange.Changes
	changed     chan struct{}
	unavailable bool
	compactOnce bool
	panicOnRead bool
}

func (s *fakeStore) update(change func(*fakeStore)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) snapshot() (agatechange.Changes, chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.panicOnRead {
		panic("not understood")
	}
	if s.unavailable {
		return agatechange.Changes{}, nil, errUnavailable
	}
	return s.state, s.changed, nil
}

func (s *fakeStore) List(context.Context, time.Duration) (agatechange.Changes, error) {
	c, _, err := s.snapshot()
	c.Complete = true
	return c, err
}

func (s *fakeStore) Watch(ctx context.Context, after int64, wait time.Duration) (agatechange.Changes, error) {
	c, changed, err := s.snapshot()
	if err != nil {
		return c, err
	}
	if s.takeCompacted() {
		return agatechange.Changes{}, &agatechange.CompactedError{After: after}
	}
	if c.Revision > after {
		return c, nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return agatechange.Changes{}, ctx.Err()
	case <-timer.C:
		return agatechange.Changes{Era: c.Era, Revision: c.Revision}, nil
	case <-changed:
		c, _, err = s.snapshot()
		return c, err
	}
}

// takeCompacted reports whether compactOnce is set, and clears it.
func (s *fakeStore) takeCompacted() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	was := s.compactOnce
	s.compactOnce = false
	return was
}

func (s *fakeStore) Reset() {}

// logBuffer collects the log of an entry. It is safe for concurrent use.
type logBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.Buffer.Write(p)
}

func (l *logBuffer) text() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.String()
}

// entry is an entry process that runs within the test.
type entry struct {
	t     *testing.T
	setup *agatesetup.Setup
	// reread holds the settings that the process reads while it runs; nil for setup.
	reread atomic.Pointer[agatesetup.Setup]
	log    *logBuffer
	stop   func()
}

// loadSettings returns the settings that are in effect.
func (e *entry) loadSettings() (*agatesetup.Setup, error) {
	if reread := e.reread.Load(); reread != nil {
		return reread, nil
	}
	return e.setup, nil
}

// freePort returns a loopback address that nobody listens on.
func freePort(t *testing.T, network string) netip.AddrPort {
	t.Helper()
	if network == "udp" {
		conn := listenUDP(t)
		defer func() { _ = conn.Close() }()
		return conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func startEntry(t *testing.T, name string, source *fakeStore, callerPort uint16, change func(*agatesetup.Setup)) *entry {
	t.Helper()
	e := &entry{t: t, log: &logBuffer{}, setup: &agatesetup.Setup{
		Name: name, Centre: "a", Packets: freePort(t, "udp"), Ready: freePort(t, "tcp"), Links: freePort(t, "udp"),
		Inspect: freePort(t, "tcp"), MemoryMB: 64,
		Bounds: agatesetup.Bounds{Config: 3000, Drain: 3000, Grace: 2, Lifetime: 60},
	}}
	if change != nil {
		change(e.setup)
	}
	sink := agatelogsink.New(e.log)
	direct := agatedirect.New(e.setup, e.loadSettings, testCodec{callerPort: callerPort},
		source, sink, slog.New(slog.NewTextHandler(sink, nil)))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- direct.Run(ctx) }()
	e.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(e.stop)
	return e
}

// waitFor polls until the condition holds, and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// httpGet returns the status and body of the response, or 0 and "" on an error.
func httpGet(address netip.AddrPort, path string) (int, string) {
	response, err := http.Get("http://" + address.String() + path)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

func (e *entry) ready() bool {
	status, _ := httpGet(e.setup.Ready, "/readyz")
	return status == http.StatusOK
}

// dump returns the entry's state as served by its inspection endpoint.
func (e *entry) dump() agatedump.Dump {
	e.t.Helper()
	var d agatedump.Dump
	_, body := httpGet(e.setup.Inspect, "/state")
	if err := json.Unmarshal([]byte(body), &d); err != nil {
		e.t.Fatal(err, body)
	}
	return d
}

var vip = netip.MustParseAddrPort("198.18.0.1:443")

// newFakeStore returns a store with one ready server per socket and one virtual
// address.
func newFakeStore(servers ...*net.UDPConn) *fakeStore {
	s := &fakeStore{changed: make(chan struct{}), state: agatechange.Changes{Revision: 5, Config: config(1)}}
	for i, server := range servers {
		address, _ := agateaddress.From(server.LocalAddr().(*net.UDPAddr).AddrPort())
		s.state.Instances = append(s.state.Instances, agateinstance.Instance{
			Key: agateinstance.Key{ID: uint64(i + 1), StartTime: 1, Address: address}, Revision: int64(i + 1), Service: "map", Centre: "a", Slots: 3,
			State: agateinstance.Ready,
		})
	}
	return s
}

func config(version int64) *agatecatalog.Config {
	return &agatecatalog.Config{Version: version, VIPs: []agatevip.VIP{{
		Name: "feeds", Address: vip, Kind: agatevip.Idempotent, Shares: []agatevip.Share{{Service: "map", Weight: 1}},
	}}}
}

// fakeCaller is a caller with one flow.
type fakeCaller struct {
	t    *testing.T
	conn *net.UDPConn
	flow agatetuple.Tuple
}

func newFakeCaller(t *testing.T, to netip.AddrPort) *fakeCaller {
	return &fakeCaller{t: t, conn: listenUDP(t), flow: agatetuple.Tuple{
		Source: [4]byte{127, 0, 0, 1}, SourcePort: 4000, Target: to.Addr().As4(), TargetPort: to.Port(),
	}}
}

func (c *fakeCaller) port() uint16 { return c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Port() }

func (c *fakeCaller) send(e *entry, s agatesegment.Segment) {
	c.t.Helper()
	s.Flow = c.flow
	if _, err := c.conn.WriteToUDPAddrPort(encode(s), e.setup.Packets); err != nil {
		c.t.Fatal(err)
	}
}

// isReset reports whether the caller's present flow is reset within the given time.
func (c *fakeCaller) isReset(within time.Duration) bool {
	c.t.Helper()
	if err := c.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		c.t.Fatal(err)
	}
	buffer := make([]byte, 2048)
	n, err := c.conn.Read(buffer)
	if err != nil {
		return false
	}
	got, err := testCodec{}.Decode(buffer[:n])
	return err == nil && got.Flags == agatesegment.RST && got.Flow == c.flow
}

// receive returns the next segment that arrives at a socket, and the prefix of the
// given size in front of it.
func receive(t *testing.T, conn *net.UDPConn, prefix int) (agatesegment.Segment, []byte) {
	t.Helper()
	buffer := make([]byte, 2048)
	if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	n, err := conn.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	s, err := testCodec{}.Decode(buffer[prefix:n])
	if err != nil {
		t.Fatal(err)
	}
	return s, buffer[:prefix]
}
