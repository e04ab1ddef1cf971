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

// Layout of a key before base64url encoding, with integers in big endian:
//
//	1 byte   address family, 4 or 6
//	4 or 16  IP address of the owner's peer listener
//	2        port
//	8        incarnation
//	8        sequence
//	6        expiry in milliseconds since the start of the incarnation
//	16       truncated HMAC-SHA256 of all of the above
const (
	macBytes        = 16
	fixedFieldBytes = 1 + 2 + 8 + 8 + 6
	ipv4KeyBytes    = fixedFieldBytes + 4 + macBytes
	ipv6KeyBytes    = fixedFieldBytes + 16 + macBytes
	ipv4KeyChars    = ipv4KeyBytes * 4 / 3 // both key sizes are multiples of three bytes, so the base64 text has no unused bits
	ipv6KeyChars    = ipv6KeyBytes * 4 / 3
	maxExpiryMS     = 1<<48 - 1
)

// macDomain is the domain separator of the HMAC. It prevents a MAC of a key
// from being valid for another use of the same secret.
const macDomain = "lentilpin idempotency key 1\x00"

// issuedKey is the decoded content of a key.
type issuedKey struct {
	owner       netip.AddrPort
	incarnation uint64
	sequence    uint64
	expires     uint64 // milliseconds since the start of the incarnation
}

// append appends the encoded key without its MAC to b.
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

// parse decodes a key without its MAC and reports whether it is well formed. b
// must have the length of an IPv4 or IPv6 key without the MAC.
func (k *issuedKey) parse(b []byte) bool {
	family, rest := b[0], b[1:]
	switch {
	case family == 4 && len(b) == ipv4KeyBytes-macBytes:
		k.owner = netip.AddrPortFrom(netip.AddrFrom4([4]byte(rest)), binary.BigEndian.Uint16(rest[4:]))
		rest = rest[6:]
	case family == 6 && len(b) == ipv6KeyBytes-macBytes:
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

// Keyring signs and verifies keys with HMAC-SHA256 (RFC 2104), truncated to 16
// bytes. It is safe for concurrent use.
type Keyring struct {
	macPools []sync.Pool // of *macState, one pool per secret
}

// macState is the reusable state of one HMAC computation. It includes the
// buffers because slices passed to hash.Hash escape to the heap.
type macState struct {
	mac  hash.Hash
	sum  [sha256.Size]byte
	data [ipv6KeyBytes + 3]byte
	text [ipv6KeyChars]byte
}

// NewKeyring returns a keyring that signs with the first secret and verifies
// with any of them. It panics if there is no secret, because anyone could then
// forge keys.
func NewKeyring(secrets []string) *Keyring {
	if len(secrets) == 0 {
		panic("ledger: keyring needs at least one secret")
	}
	k := &Keyring{macPools: make([]sync.Pool, len(secrets))}
	for i, secret := range secrets {
		k.macPools[i].New = func() any { return &macState{mac: hmac.New(sha256.New, []byte(secret))} }
	}
	return k
}

var macDomainBytes = []byte(macDomain)

// computeMAC returns the truncated MAC of data. The result is valid until the
// next call.
func (s *macState) computeMAC(data []byte) []byte {
	s.mac.Reset()
	s.mac.Write(macDomainBytes)
	s.mac.Write(data)
	return s.mac.Sum(s.sum[:0])[:macBytes]
}

// sign returns the text form of a key, signed with the first secret.
func (k *Keyring) sign(key *issuedKey) string {
	s := k.macPools[0].Get().(*macState)
	defer k.macPools[0].Put(s)
	data := key.append(s.data[:0])
	data = append(data, s.computeMAC(data)...)
	n := base64.RawURLEncoding.EncodedLen(len(data))
	base64.RawURLEncoding.Encode(s.text[:n], data)
	return string(s.text[:n])
}

// HasKeyForm reports whether text may be a key that some process has issued. Its
// signature is not checked.
func HasKeyForm(text string) bool {
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) != ipv4KeyBytes && len(b) != ipv6KeyBytes {
		return false
	}
	var k issuedKey
	return k.parse(b[:len(b)-macBytes])
}

// verify decodes the text form of a key. It returns false unless the text is
// the exact output of sign for one of the secrets.
func (k *Keyring) verify(text string) (key issuedKey, ok bool) {
	if len(text) != ipv4KeyChars && len(text) != ipv6KeyChars {
		return key, false
	}
	for i := range k.macPools {
		if key, ok = k.verifyWith(&k.macPools[i], text); ok {
			return key, true
		}
	}
	return key, false
}

// verifyWith verifies a key with the secret of one pool.
func (k *Keyring) verifyWith(pool *sync.Pool, text string) (key issuedKey, ok bool) {
	s := pool.Get().(*macState)
	defer pool.Put(s)
	n := copy(s.text[:], text)
	n, err := base64.RawURLEncoding.Decode(s.data[:], s.text[:n])
	// The base64 decoder ignores line breaks, so the decoded data can be shorter
	// than the length of the text implies.
	if err != nil || n != len(text)/4*3 {
		return key, false
	}
	data, mac := s.data[:n-macBytes], s.data[n-macBytes:n]
	if !hmac.Equal(mac, s.computeMAC(data)) {
		return key, false
	}
	return key, key.parse(data)
}
