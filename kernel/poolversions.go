package kernel

import (
	"crypto/sha256"
	"encoding/base64"
	"maps"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// versionsFreshFor is the age up to which a node relies on the rows of versions to decide that it need not record what
	// its streams are bound to. It is above the age that they reach while the store answers.
	versionsFreshFor = 4 * time.Second
	// versionHashBytes is the length of the hash in the keys of rows of versions.
	versionHashBytes = 12
)

type (
	// VersionRow is a row of the store. It states that streams of a pool may have begun at a version. Nodes begin no
	// stream that may be resumed at a version without a row, unless the store does not answer, so that the rows of a pool list all
	// versions that its streams may be bound to.
	VersionRow struct {
		Pool    string
		Version string
		// Retiring is true once no engine of the version is listed. No node that has read the row so begins streams at the
		// version, unless it writes the row anew.
		Retiring bool
	}

	// VersionChange is a changed row of versions. Row is empty if it was removed.
	VersionChange struct {
		Key        string
		Row        VersionRow
		RowVersion uint64
		Removed    bool
	}

	// PoolVersions holds the rows of versions that a node has read. It is immutable.
	PoolVersions struct {
		rows map[string]VersionChange
		// retiring has whether each row is retiring, by what it lets streams be bound to.
		retiring map[Binding]bool
		// provenAt is the start of the newest store call that showed the rows to be current.
		provenAt time.Time
	}
)

// VersionKey returns the key of the row of a version of a pool.
func VersionKey(b Binding) string {
	h := sha256.New()
	_, _ = h.Write([]byte(b.Pool))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b.Version))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:versionHashBytes])
}

// Binding returns what streams may be bound to by the row.
func (r VersionRow) Binding() Binding {
	return Binding{Pool: r.Pool, Version: r.Version}
}

// With returns the rows after an answer of the store.
func (v PoolVersions) With(provenAt time.Time, changes []VersionChange) PoolVersions {
	if provenAt.After(v.provenAt) {
		v.provenAt = provenAt
	}
	if len(changes) == 0 {
		return v
	}
	rows := maps.Clone(v.rows)
	if rows == nil {
		rows = map[string]VersionChange{}
	}
	for _, c := range changes {
		if known, ok := rows[c.Key]; ok && known.RowVersion > c.RowVersion {
			continue
		}
		if c.Removed {
			delete(rows, c.Key)
			continue
		}
		rows[c.Key] = c
	}
	v.rows = rows
	v.retiring = make(map[Binding]bool, len(rows))
	for _, c := range rows {
		v.retiring[c.Row.Binding()] = c.Row.Retiring
	}
	return v
}

// Bindings returns what the streams of a pool may be bound to.
func (v PoolVersions) Bindings(pool string) []Binding {
	var out []Binding
	for b := range v.retiring {
		if b.Pool == pool {
			out = append(out, b)
		}
	}
	return out
}

// Only returns what all streams of a pool are bound to, if there is only one version.
func (v PoolVersions) Only(pool string) (Binding, bool) {
	bindings := v.Bindings(pool)
	if len(bindings) != 1 {
		return Binding{}, false
	}
	return bindings[0], true
}

// Lists reports whether there is a row that lets streams begin at a version.
func (v PoolVersions) Lists(b Binding) bool {
	retiring, known := v.retiring[b]
	return known && !retiring
}

// MayBegin reports whether a node that has read these rows may begin streams at a version that may be resumed. A copy that is out of
// date may lack that the row was retired and removed since.
func (v PoolVersions) MayBegin(now time.Time, b Binding) bool {
	trusted := v.provenAt.IsZero() || now.Sub(v.provenAt) <= versionRowTrust
	return trusted && v.Lists(b)
}

// Fresh reports whether the rows were lately shown to be current.
func (v PoolVersions) Fresh(now time.Time) bool {
	return !v.provenAt.IsZero() && now.Sub(v.provenAt) <= versionsFreshFor
}

// Age returns the time since the rows were last shown to be current.
func (v PoolVersions) Age(now time.Time) time.Duration {
	return now.Sub(v.provenAt)
}

// VersionsOf returns the versions of the listed endpoints that take work, each once.
func VersionsOf(endpoints []model.Endpoint) []string {
	var out []string
	for _, e := range endpoints {
		if e.TakesWork() && !slices.Contains(out, e.Version) {
			out = append(out, e.Version)
		}
	}
	return out
}

// Announcement returns the write that lets streams of a pool begin at a version.
func (v PoolVersions) Announcement(b Binding) VersionWrite {
	return VersionWrite{Action: AnnounceVersion, Binding: b, RowVersion: v.rows[VersionKey(b)].RowVersion}
}
