package agatelink

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/coder/websocket"

	"agatereach/core/process/agateclaim"
	"agatereach/core/request/agatecodec"
	"agatereach/core/version/agatekeyring"
)

const (
	// version is the version of the link protocol.
	version = 1
	// minSecret is the length of the shortest secret in bytes.
	minSecret = 16
	// maxHello is the size of the longest hello in bytes.
	maxHello = 2048
	// nonceSize is the size of a nonce in bytes.
	nonceSize = 16
	// tagSize is the size of a message's authentication code in bytes.
	tagSize = 16
)

// role says which end of a link a process is.
type role string

// The ends of a link.
const (
	dialler role = "dialler"
	taker   role = "taker"
)

func (r role) other() role {
	if r == dialler {
		return taker
	}
	return dialler
}

// hello is the first message of either end. The second one is the proof that
// it knows the secret, bound to both hellos.
type hello struct {
	Version int              `json:"version"`
	Claim   agateclaim.Claim `json:"claim"`
	Nonce   [nonceSize]byte  `json:"nonce"`
}

// session holds what the two ends of a link have agreed on.
type session struct {
	// peer is the other end's claim about itself.
	peer agateclaim.Claim
	// send and receive are the keys of the two directions, and sent and
	// received count their messages.
	send, receive  agatekeyring.Key
	sent, received uint64
}

// shake introduces this process to the peer and proves to each that the other
// knows the secret. The errors are *VersionError, *SelfError, *ProofError,
// *TypeError, *agatecodec.DecodeError and those of the connection.
func shake(ctx context.Context, c *websocket.Conn, secret []byte, self agateclaim.Claim, end role) (*session, error) {
	own, err := newHello(self)
	if err != nil {
		return nil, err
	}
	if err := c.Write(ctx, websocket.MessageBinary, own); err != nil {
		return nil, err
	}
	c.SetReadLimit(maxHello)
	text, err := receive(ctx, c)
	if err != nil {
		return nil, err
	}
	var peer hello
	if err := (agatecodec.Codec{}).Decode("hello", text, &peer); err != nil {
		return nil, err
	}
	switch {
	case peer.Version != version:
		return nil, &VersionError{Have: peer.Version}
	case peer.Claim.Boot == self.Boot:
		return nil, &SelfError{}
	}
	hellos := [2][]byte{own, text}
	if end == taker {
		hellos = [2][]byte{text, own}
	}
	if err := prove(ctx, c, secret, hellos, end, peer.Claim.VM); err != nil {
		return nil, err
	}
	return &session{
		peer:    peer.Claim,
		send:    sessionKey(secret, hellos, end),
		receive: sessionKey(secret, hellos, end.other()),
	}, nil
}

// prove sends this end's proof and checks the other end's.
func prove(ctx context.Context, c *websocket.Conn, secret []byte, hellos [2][]byte, end role, name string) error {
	own := derive(secret, "proof", hellos, end)
	if err := c.Write(ctx, websocket.MessageBinary, own); err != nil {
		return err
	}
	proof, err := receive(ctx, c)
	if err != nil {
		return err
	}
	if !hmac.Equal(proof, derive(secret, "proof", hellos, end.other())) {
		return &ProofError{VM: name}
	}
	return nil
}

// newHello returns the encoded hello with a fresh nonce.
func newHello(self agateclaim.Claim) ([]byte, error) {
	h := hello{Version: version, Claim: self}
	if _, err := rand.Read(h.Nonce[:]); err != nil {
		return nil, err
	}
	return agatecodec.Codec{}.Encode("hello", &h)
}

// receive reads one binary message.
func receive(ctx context.Context, c *websocket.Conn) ([]byte, error) {
	kind, text, err := c.Read(ctx)
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, &TypeError{}
	}
	return text, nil
}

// derive returns HMAC-SHA-256 of a purpose, an end and both hellos.
func derive(secret []byte, purpose string, hellos [2][]byte, end role) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(purpose), []byte(end), hellos[0], hellos[1]} {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(part)))
		mac.Write(size[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// sessionKey returns the key for the messages that the given end sends.
func sessionKey(secret []byte, hellos [2][]byte, end role) agatekeyring.Key {
	key := agatekeyring.Key{ID: 1}
	copy(key.Secret[:], derive(secret, "session", hellos, end))
	return key
}

// seal returns the message with its authentication code in front.
func (s *session) seal(message []byte) []byte {
	sealed := make([]byte, tagSize, tagSize+len(message))
	sealed = append(sealed, message...)
	setTag(&s.send, s.sent, sealed)
	s.sent++
	return sealed
}

// open checks a sealed message and returns what is in it. The error is a
// *TagError.
func (s *session) open(sealed []byte) ([]byte, error) {
	count := s.received
	s.received++
	if len(sealed) < tagSize {
		return nil, &TagError{Count: count}
	}
	tag := [tagSize]byte(sealed)
	setTag(&s.receive, count, sealed)
	if !hmac.Equal(tag[:], sealed[:tagSize]) {
		return nil, &TagError{Count: count}
	}
	return sealed[tagSize:], nil
}

// setTag writes the authentication code of the message's number and content.
func setTag(key *agatekeyring.Key, count uint64, sealed []byte) {
	clear(sealed[:tagSize])
	binary.BigEndian.PutUint64(sealed, count)
	high, low := key.Sum128(sealed)
	binary.BigEndian.PutUint64(sealed, high)
	binary.BigEndian.PutUint64(sealed[8:], low)
}
