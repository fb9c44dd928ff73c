package peer

import (
	"bytes"
	"context"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// messageKeyPath is the path of the exchange of keys; it begins as that of all
	// calls of peers.
	messageKeyPath = "/twirp/chestnutfield.peer.MessageKeys"
	// keyRetryInterval is the time between two exchanges with a host whose key is not
	// known, keySilence the time without a message from a host after which its key may
	// be that of an earlier process.
	keyRetryInterval = 200 * time.Millisecond
	keySilence       = time.Second
	// nonceSaltBytes is the part of a nonce that identifies the sending process; a
	// counter is the rest.
	nonceSaltBytes = 4
	nonceBytes     = nonceSaltBytes + 8
)

// MessageKeys seals the UDP messages between hosts with AES-256-GCM, where peers need
// credentials. Each process issues a key of its own to every host that sends it
// messages. Two hosts exchange their keys over the peers address, with its token or
// certificates, when one of them has a first message for the other; until then messages
// count as lost. It is safe for concurrent use.
type MessageKeys struct {
	node   *Node
	secret [sha256.Size]byte
	salt   [nonceSaltBytes]byte

	mu    sync.Mutex
	peers map[netip.AddrPort]*peerKeys
}

// peerKeys are the keys exchanged with one host.
type peerKeys struct {
	// seal is the key that the host issued, open the one issued to it; both are nil
	// before the exchange.
	seal, open cipher.AEAD
	// sent is the counter of the last message to the host.
	sent       uint64
	received   replayWindow
	exchanging bool
	// triedAt is when the last exchange that this host began started, heardAt when the
	// host was last heard.
	triedAt, heardAt time.Time
}

// keyExchange is the request and the response of an exchange of keys.
type keyExchange struct {
	// Addr is the sender's address for messages.
	Addr netip.AddrPort `json:"addr"`
	// Key is the key that the sender issues to the receiver.
	Key []byte `json:"key"`
	// Salt and Sent are the nonce of the sender's last message to the receiver.
	Salt []byte `json:"salt"`
	Sent uint64 `json:"sent"`
}

// MessageKeys returns the keys for messages of this host; it must be called once at
// most, before Serve.
func (n *Node) MessageKeys() *MessageKeys {
	k := &MessageKeys{node: n, peers: map[netip.AddrPort]*peerKeys{}}
	_, _ = rand.Read(k.secret[:])
	_, _ = rand.Read(k.salt[:])
	n.messageKeys.Store(k)
	return k
}

// Seal returns a packet as it is sent to the host at an address; ok is false while
// there is no key for it.
func (k *MessageKeys) Seal(to netip.AddrPort, packet []byte) (sealed []byte, ok bool) {
	k.mu.Lock()
	p := k.peer(to)
	now := k.node.opt.Clock.Now()
	if k.exchangeDue(p, now) {
		p.exchanging, p.triedAt = true, now
		go k.exchange(to, p)
	}
	aead := p.seal
	if aead == nil {
		k.mu.Unlock()
		return nil, false
	}
	p.sent++
	nonce := binary.BigEndian.AppendUint64(append(make([]byte, 0, nonceBytes), k.salt[:]...), p.sent)
	k.mu.Unlock()
	return aead.Seal(nonce, nonce, packet, nil), true
}

// exchangeDue reports whether keys are to be exchanged with a host.
func (k *MessageKeys) exchangeDue(p *peerKeys, now time.Time) bool {
	switch {
	case p.exchanging:
		return false
	case p.seal == nil:
		return now.Sub(p.triedAt) >= keyRetryInterval
	default:
		return now.Sub(p.triedAt) >= keySilence && now.Sub(p.heardAt) >= keySilence
	}
}

// Open returns a packet as it was before Seal; ok is false for one that was not sealed
// for this process by the host at the address, and for a repeated one.
func (k *MessageKeys) Open(from netip.AddrPort, packet []byte) (opened []byte, ok bool) {
	k.mu.Lock()
	p := k.peers[from]
	if p == nil || p.open == nil || len(packet) < nonceBytes {
		k.mu.Unlock()
		return nil, false
	}
	aead := p.open
	k.mu.Unlock()
	nonce := packet[:nonceBytes]
	opened, err := aead.Open(nil, nonce, packet[nonceBytes:], nil)
	if err != nil {
		return nil, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !p.received.accept([nonceSaltBytes]byte(nonce), binary.BigEndian.Uint64(nonce[nonceSaltBytes:])) {
		return nil, false
	}
	p.heardAt = k.node.opt.Clock.Now()
	return opened, true
}

// peer returns the keys of a host. The caller holds the lock.
func (k *MessageKeys) peer(addr netip.AddrPort) *peerKeys {
	p := k.peers[addr]
	if p == nil {
		if len(k.peers) >= maxEntries {
			clear(k.peers)
		}
		p = &peerKeys{}
		k.peers[addr] = p
	}
	return p
}

// issued returns the key that this process issues to the host at an address.
func (k *MessageKeys) issued(addr netip.AddrPort) []byte {
	h := hmac.New(sha256.New, k.secret[:])
	_, _ = h.Write([]byte(addr.String()))
	return h.Sum(nil)
}

// offer returns what this host sends to another in an exchange.
func (k *MessageKeys) offer(to netip.AddrPort) keyExchange {
	k.mu.Lock()
	defer k.mu.Unlock()
	return keyExchange{Addr: k.node.opt.Members.Self().Addr, Key: k.issued(to), Salt: k.salt[:], Sent: k.peer(to).sent}
}

// accept records the keys of an exchange with the host at an address.
func (k *MessageKeys) accept(from netip.AddrPort, x keyExchange) error {
	if len(x.Key) != sha256.Size || len(x.Salt) != nonceSaltBytes {
		return errors.Errorf("exchange of message keys: key of %d and salt of %d bytes, %d and %d expected", len(x.Key), len(x.Salt), sha256.Size, nonceSaltBytes)
	}
	seal, err := newAEAD(x.Key)
	if err != nil {
		return err
	}
	open, err := newAEAD(k.issued(from))
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.peer(from)
	p.seal, p.open, p.heardAt = seal, open, k.node.opt.Clock.Now()
	p.received.restart([nonceSaltBytes]byte(x.Salt), x.Sent)
	return nil
}

func newAEAD(key []byte) (cipher.AEAD, error) {
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Wrap(err, "message key")
	}
	aead, err := cipher.NewGCM(block)
	return aead, errors.Wrap(err, "message key")
}

// exchange exchanges keys with the host at an address.
func (k *MessageKeys) exchange(to netip.AddrPort, p *peerKeys) {
	ctx, cancel := context.WithTimeout(context.Background(), k.node.opt.Timeout)
	defer cancel()
	response, err := k.node.clients.exchangeKeys(ctx, to, k.offer(to))
	if err == nil {
		err = k.accept(to, response)
	}
	k.mu.Lock()
	p.exchanging = false
	k.mu.Unlock()
	k.node.metrics.keyExchange(err)
}

// exchangeKeys sends an exchange of keys to the host at an address.
func (c *clients) exchangeKeys(ctx context.Context, to netip.AddrPort, x keyExchange) (keyExchange, error) {
	body, err := json.Marshal(x)
	if err != nil {
		return keyExchange{}, errors.Wrap(err, "exchange of message keys")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL(to)+messageKeyPath, bytes.NewReader(body))
	if err != nil {
		return keyExchange{}, errors.Wrap(err, "exchange of message keys")
	}
	response, err := c.http().Do(request)
	if err != nil {
		return keyExchange{}, errors.Wrap(err, "exchange of message keys")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return keyExchange{}, errors.Errorf("exchange of message keys: status %d, 200 expected", response.StatusCode)
	}
	var answer keyExchange
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, errors.Wrap(err, "exchange of message keys")
}

// serveKeys answers another host's exchange of keys.
func (n *Node) serveKeys(w http.ResponseWriter, r *http.Request) {
	keys := n.messageKeys.Load()
	if keys == nil {
		http.NotFound(w, r)
		return
	}
	var x keyExchange
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil || !x.Addr.IsValid() || keys.accept(unmap(x.Addr), x) != nil {
		n.metrics.refused.Inc()
		http.Error(w, "exchange of message keys: address, key of 32 bytes and salt of 4 bytes expected", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(keys.offer(unmap(x.Addr)))
}

// replayBits is the number of messages by which one may arrive late.
const replayBits = 64

// replayWindow refuses messages that arrive a second time.
type replayWindow struct {
	salt    [nonceSaltBytes]byte
	highest uint64
	// seen has bit i set when message highest-i has arrived.
	seen uint64
}

// restart accepts what a process sends after its first messages. It changes nothing
// for the process that is known.
func (w *replayWindow) restart(salt [nonceSaltBytes]byte, sent uint64) {
	if salt != w.salt {
		*w = replayWindow{salt: salt, highest: sent, seen: ^uint64(0)}
	}
}

// accept records a message and reports whether it is the first with its number.
func (w *replayWindow) accept(salt [nonceSaltBytes]byte, number uint64) bool {
	if salt != w.salt {
		return false
	}
	if number > w.highest {
		w.seen = w.seen<<min(number-w.highest, replayBits) | 1
		w.highest = number
		return true
	}
	age := w.highest - number
	if age >= replayBits || w.seen&(1<<age) != 0 {
		return false
	}
	w.seen |= 1 << age
	return true
}
