package model

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// digestSize is the length of the truncated hash in bytes. 16 bytes are enough to make it infeasible to construct
	// a request with the digest of another customer's request.
	digestSize = 16
	// partDigestSize is the length of the digest of a prompt part in bytes. Reports list hundreds of them.
	partDigestSize = 8
	// MaxSharedParts is the number of a prompt's parts that have a digest. A caller may send prompts of thousands of
	// parts.
	MaxSharedParts = 64
)

type (
	// Digest identifies a request across its retries, each of which has an ID of its own: it depends only on the customer
	// and on what is requested. It is a hash in hexadecimal, so it can be logged and stored without the content of the
	// request. It is empty if the request has none.
	Digest string

	// RequestDigests identifies a request, and what its prompt has in common with other requests.
	RequestDigests struct {
		Request Digest
		// Parts are the digests of the parts of the prompt that other requests may have, at most MaxSharedParts and without
		// duplicates. They do not depend on the customer.
		Parts []Digest
	}
)

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

// IsPart reports whether the digest is that of a part of a prompt. These are shorter.
func (d Digest) IsPart() bool {
	return len(d) == 2*partDigestSize
}

// NewPartDigest returns the digest of a part of a prompt to a model that the endpoints of a pool run. The same part may
// crash the endpoints of one pool or under one model only.
func NewPartDigest(pool, model, part string) Digest {
	return NewDigest(pool, model, part)[:2*partDigestSize]
}
