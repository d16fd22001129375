// Package standin is a small stand-in for what basilstall meets outside: the platform (table,
// object store, list of hosts, weight store) and the endpoints (engines, encoders, retrievers,
// rerankers, plain services). Faults are switched on over HTTP, and a journal tells what ran.
package standin
