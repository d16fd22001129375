package model

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestSize is how much of the hash is kept: 16 bytes are too many for anybody to find a second request with
// the digest of somebody else's.
const digestSize = 16

// Digest identifies what repeats of a request share although each has an ID of its own: who asks, and for what.
// It is a hash in hexadecimal, so it can be logged and kept without the request; empty for none.
type Digest string

// NewDigest returns the digest of the parts of a request that its repeats share, its customer among them.
func NewDigest(parts ...string) Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		// Lengths keep parts from running into each other.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	return Digest(hex.EncodeToString(h.Sum(nil)[:digestSize]))
}
