package ledger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"net/netip"
	"sync"
)

// Layout of a key before encoding, big endian:
//
//	1 byte   address family, 4 or 6
//	4 or 16  IP address of the owner's peer listener
//	2        port
//	8        incarnation
//	8        sequence
//	6        expiry in milliseconds since the start of the incarnation
//	16       truncated HMAC-SHA256 of all of the above
const (
	macBytes    = 16
	fixedBytes  = 1 + 2 + 8 + 8 + 6
	key4Bytes   = fixedBytes + 4 + macBytes
	key6Bytes   = fixedBytes + 16 + macBytes
	key4Chars   = key4Bytes * 4 / 3 // both sizes are multiples of three, so no encoded form has spare bits
	key6Chars   = key6Bytes * 4 / 3
	maxExpiryMS = 1<<48 - 1
)

// macDomain keeps a code for a key from being valid for another use of the
// same secret.
const macDomain = "lentilpin idempotency key 1\x00"

// issuedKey is the content of a key.
type issuedKey struct {
	owner       netip.AddrPort
	incarnation uint64
	sequence    uint64
	expires     uint64 // milliseconds since the start of the incarnation
}

// append encodes the key without its code.
func (k *issuedKey) append(b []byte) []byte {
	addr := k.owner.Addr()
	if addr.Is4() {
		a := addr.As4()
		b = append(append(b, 4), a[:]...)
	} else {
		a := addr.As16()
		b = append(append(b, 6), a[:]...)
	}
	b = binary.BigEndian.AppendUint16(b, k.owner.Port())
	b = binary.BigEndian.AppendUint64(b, k.incarnation)
	b = binary.BigEndian.AppendUint64(b, k.sequence)
	b = binary.BigEndian.AppendUint16(b, uint16(k.expires>>32))
	return binary.BigEndian.AppendUint32(b, uint32(k.expires))
}

// parse decodes a key without its code. b has the length of one of the two
// forms.
func (k *issuedKey) parse(b []byte) bool {
	family, rest := b[0], b[1:]
	switch {
	case family == 4 && len(b) == key4Bytes-macBytes:
		k.owner = netip.AddrPortFrom(netip.AddrFrom4([4]byte(rest)), binary.BigEndian.Uint16(rest[4:]))
		rest = rest[6:]
	case family == 6 && len(b) == key6Bytes-macBytes:
		k.owner = netip.AddrPortFrom(netip.AddrFrom16([16]byte(rest)), binary.BigEndian.Uint16(rest[16:]))
		rest = rest[18:]
	default:
		return false
	}
	k.incarnation = binary.BigEndian.Uint64(rest)
	k.sequence = binary.BigEndian.Uint64(rest[8:])
	k.expires = uint64(binary.BigEndian.Uint16(rest[16:]))<<32 | uint64(binary.BigEndian.Uint32(rest[18:]))
	return true
}

// Keyring signs and verifies keys.
type Keyring struct {
	codes []sync.Pool // of *code, one for each secret
}

// code is the reusable state of one computation. The buffers are part of it
// because slices that are passed to hash.Hash escape to the heap.
type code struct {
	mac  hash.Hash
	sum  [sha256.Size]byte
	data [key6Bytes + 3]byte
	text [key6Chars]byte
}

// NewKeyring returns a keyring. The first secret signs, all verify. It panics
// without a secret, because keys that anyone can make protect nothing.
func NewKeyring(secrets []string) *Keyring {
	if len(secrets) == 0 {
		panic("ledger: keyring without a secret")
	}
	k := &Keyring{codes: make([]sync.Pool, len(secrets))}
	for i, secret := range secrets {
		k.codes[i].New = func() any { return &code{mac: hmac.New(sha256.New, []byte(secret))} }
	}
	return k
}

var domainBytes = []byte(macDomain)

func (c *code) compute(data []byte) []byte {
	c.mac.Reset()
	c.mac.Write(domainBytes)
	c.mac.Write(data)
	return c.mac.Sum(c.sum[:0])[:macBytes]
}

// sign returns the text form of a key.
func (k *Keyring) sign(key *issuedKey) string {
	c := k.codes[0].Get().(*code)
	defer k.codes[0].Put(c)
	data := key.append(c.data[:0])
	data = append(data, c.compute(data)...)
	n := base64.RawURLEncoding.EncodedLen(len(data))
	base64.RawURLEncoding.Encode(c.text[:n], data)
	return string(c.text[:n])
}

// verify decodes the text form of a key. It returns false for every text that
// sign has not returned for one of the secrets.
func (k *Keyring) verify(text string) (key issuedKey, ok bool) {
	if len(text) != key4Chars && len(text) != key6Chars {
		return key, false
	}
	for i := range k.codes {
		if key, ok = k.verifyWith(&k.codes[i], text); ok {
			return key, true
		}
	}
	return key, false
}

func (k *Keyring) verifyWith(pool *sync.Pool, text string) (key issuedKey, ok bool) {
	c := pool.Get().(*code)
	defer pool.Put(c)
	n := copy(c.text[:], text)
	n, err := base64.RawURLEncoding.Decode(c.data[:], c.text[:n])
	// The decoder skips line breaks, which makes the data shorter than the
	// length of the text says.
	if err != nil || n != len(text)/4*3 {
		return key, false
	}
	data, mac := c.data[:n-macBytes], c.data[n-macBytes:n]
	if !hmac.Equal(mac, c.compute(data)) {
		return key, false
	}
	return key, key.parse(data)
}
