package kernel

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"basilstall.example/basilstall/model"
)

const (
	maxKeyLength = 128
	uuidLength   = 36
	uuidVersion7 = 7
)

// ErrBadKey is returned for a malformed idempotency key.
var ErrBadKey = errors.New("kernel: an idempotency key is 1 to 128 printable ASCII characters without spaces")

// Key is the parsed idempotency key of a customer.
type Key struct {
	// ID is unique across customers.
	ID string
	// Issued is the time of issue that a UUIDv7 carries; zero for any other key.
	Issued time.Time
}

// ParseKey parses the value of an Idempotency-Key header. A UUIDv7 (RFC 9562) is brought to its canonical form, so
// that two spellings of a key are the same key.
func ParseKey(customer, raw string) (Key, error) {
	if raw == "" || len(raw) > maxKeyLength {
		return Key{}, ErrBadKey
	}
	for _, c := range []byte(raw) {
		if c <= ' ' || c > '~' {
			return Key{}, ErrBadKey
		}
	}
	key := Key{ID: customer + "/" + raw}
	if len(raw) != uuidLength {
		return key, nil
	}
	id, err := uuid.Parse(raw)
	if err != nil || id.Version() != uuidVersion7 || id.Variant() != uuid.RFC4122 {
		return key, nil //nolint:nilerr // any other form is a valid key without a time
	}
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	key.ID = customer + "/" + strings.ToLower(raw)
	key.Issued = time.UnixMilli(millis)
	return key, nil
}

// Timed reports whether the key carries its time of issue.
func (k Key) Timed() bool {
	return !k.Issued.IsZero()
}

// Mode returns the mechanism that prevents a second run of the key. It depends on the form of the key alone, so that
// no change of settings can move a key from one mechanism to another.
func (k Key) Mode() model.KeyMode {
	if k.Timed() {
		return model.Claims
	}
	return model.Durable
}

// Fingerprint returns a hash of what a key is used for, which tells a retry from another request with the same key.
func Fingerprint(r model.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Account(), r.Pipeline, r.Input.Text, r.Input.Prefix} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// rendezvousScore returns the score of a member for a subject in rendezvous hashing. The member with the highest score
// ranks first.
func rendezvousScore(subject, member string) uint64 {
	// The two hashes are mixed afterwards, because hashes of a plain concatenation are correlated for similar names.
	mixed := xxhash.Sum64String(subject) ^ (xxhash.Sum64String(member) * 0x9e3779b97f4a7c15)
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}
