package model

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestSize is the length of the truncated hash in bytes. 16 bytes are enough to make it infeasible to construct
// a request with the digest of another customer's request.
const digestSize = 16

// Digest identifies a request across its retries, each of which has an ID of its own: it depends only on the customer
// and on what is requested. It is a hash in hexadecimal, so it can be logged and stored without the content of the
// request. It is empty if the request has none.
type Digest string

// NewDigest returns the digest of the parts of a request that its retries have in common, including the customer.
func NewDigest(parts ...string) Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		// The length prefix keeps the boundaries between the parts unambiguous.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	return Digest(hex.EncodeToString(h.Sum(nil)[:digestSize]))
}
