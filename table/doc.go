// Package table is a client of the platform's transactional table service: rows with versions, read by key or prefix,
// and transactions that write only if all conditions hold. The service may be unavailable, its reads may be stale, and
// the reply to a write may be lost after the write took effect. Each error says which of these can be the case.
package table
