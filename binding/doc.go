// Package binding keeps what resumable streams are bound to, so that a caller who comes back to any node gets the rest of
// its stream from an engine of the software version that began it. While a pool has had one version, nothing is recorded:
// rows of the store list the versions at which streams may begin. While it has several, each node sends its bindings to two
// registrars, one of which also writes them to the store. A record holds once the first event of its stream is passed on; one that
// overtakes another is in the store before. What to do is decided in package kernel.
package binding
