// Package standin simulates the external systems that basilstall talks to: the platform (table, object store, list of
// hosts) and the endpoints (engines, encoders, retrievers, rerankers, plain services). The weight store is simulated
// only by the time that engines take to load an adapter. Faults are injected over HTTP or with InjectFault, and a
// journal records the calls and orders that the endpoints received.
package standin
