// Package table speaks to the platform's transactional table service: rows with versions, read
// by key or prefix, and transactions that write only if all conditions hold. The service has
// outages, its reads may be stale, and the answer to a write may be lost after the write took
// effect; each error says which of these can be the case.
package table
