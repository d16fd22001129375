package table

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
)

const (
	claimsKey    = "claims/row"
	eraKeyFormat = "claims/eras/%012d"
)

type (
	// claimsRow is the row that all nodes read again and again. It names the eras; their
	// members lie in rows of their own, which never change, so that a fleet of hundreds
	// does not read its member list every few seconds.
	claimsRow struct {
		Number    uint64
		Writer    string
		Firm      time.Time
		Horizon   time.Time
		Eras      []eraRef
		Transfers []kernel.Transfer
	}

	eraRef struct {
		Number uint64
		From   time.Time
	}
)

// Claims returns the claims row and its version; the zero row if there is none yet. Known is
// what the caller read before: eras that it holds are not read again.
func (s *Store) Claims(ctx context.Context, known kernel.Claims) (kernel.Claims, uint64, error) {
	row, err := s.Get(ctx, claimsKey)
	if errors.Is(err, ErrNotFound) {
		return kernel.Claims{}, 0, nil
	}
	if err != nil {
		return kernel.Claims{}, 0, err
	}
	var stored claimsRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return kernel.Claims{}, 0, errors.Wrap(err, "table: unable to decode the claims row")
	}
	claims := kernel.Claims{
		Number:    stored.Number,
		Writer:    stored.Writer,
		Firm:      stored.Firm,
		Horizon:   stored.Horizon,
		Transfers: stored.Transfers,
	}
	for _, ref := range stored.Eras {
		era, err := s.readEra(ctx, ref, known)
		if err != nil {
			return kernel.Claims{}, 0, err
		}
		claims.Eras = append(claims.Eras, era)
	}
	return claims, row.Version, nil
}

func (s *Store) readEra(ctx context.Context, ref eraRef, known kernel.Claims) (kernel.Era, error) {
	i := slices.IndexFunc(known.Eras, func(e kernel.Era) bool { return e.Number == ref.Number })
	if i >= 0 {
		return known.Eras[i], nil
	}
	row, err := s.Get(ctx, fmt.Sprintf(eraKeyFormat, ref.Number))
	if err != nil {
		return kernel.Era{}, err
	}
	var era kernel.Era
	if err := json.Unmarshal(row.Value, &era); err != nil {
		return kernel.Era{}, errors.Wrap(err, "table: unable to decode an era")
	}
	return era, nil
}

// CompareAndSwapClaims replaces the claims row if it still has the version that was read. If the
// answer is lost it reads the row back and recognises its own write by the writer's number.
func (s *Store) CompareAndSwapClaims(ctx context.Context, version uint64, old, next kernel.Claims) (uint64, error) {
	tx, err := claimsTransaction(version, old, next)
	if err != nil {
		return 0, err
	}
	committed, err := s.Commit(ctx, tx)
	if !errors.Is(err, ErrUnknown) {
		return committed, err
	}
	row, readErr := s.Get(ctx, claimsKey)
	if readErr != nil {
		return 0, err
	}
	var stored claimsRow
	if json.Unmarshal(row.Value, &stored) == nil && stored.Writer == next.Writer {
		return row.Version, nil
	}
	return 0, err
}

func claimsTransaction(version uint64, old, next kernel.Claims) (Transaction, error) {
	stored := claimsRow{
		Number:    next.Number,
		Writer:    next.Writer,
		Firm:      next.Firm,
		Horizon:   next.Horizon,
		Transfers: next.Transfers,
	}
	tx := Transaction{Conditions: []Condition{{Key: claimsKey, Version: version}}}
	for _, era := range next.Eras {
		stored.Eras = append(stored.Eras, eraRef{Number: era.Number, From: era.From})
		if slices.ContainsFunc(old.Eras, func(e kernel.Era) bool { return e.Number == era.Number }) {
			continue
		}
		value, err := json.Marshal(era)
		if err != nil {
			return tx, errors.Wrap(err, "table: unable to encode an era")
		}
		tx.Writes = append(tx.Writes, Write{Key: fmt.Sprintf(eraKeyFormat, era.Number), Value: value})
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return tx, errors.Wrap(err, "table: unable to encode the claims row")
	}
	tx.Writes = append(tx.Writes, Write{Key: claimsKey, Value: value})
	return tx, nil
}
