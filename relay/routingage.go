package relay

import (
	"time"

	"basilstall.example/basilstall/currency"
	"basilstall.example/basilstall/kernel"
)

// RoutingProof is what is known of the proofs of the routing, beside its age.
type RoutingProof struct {
	// By is the node that last proved the routing current; "store" if this node has read it.
	By string
	// Attempts are calls to the store that got no answer, of all nodes.
	Attempts currency.Attempts
}

// SetRoutingProof sets what is known of the proofs of the routing.
func (r *Relay) SetRoutingProof(p RoutingProof) {
	r.routingProof.Store(&p)
}

// Currency judges whether this node may act on its routing.
func (r *Relay) Currency() currency.Verdict {
	return r.currencyAt(r.now(), r.View())
}

func (r *Relay) currencyAt(now time.Time, view kernel.RoutingView) currency.Verdict {
	return currency.Judge(now, r.options.MaxRouteAge, currency.Evidence{ProvenAt: view.ProvenAt, Attempts: r.routingProof.Load().Attempts, Nodes: r.fleetSize()})
}

// trust returns how far the routing is trusted now.
func (r *Relay) trust() kernel.RoutingTrust {
	behind := r.Currency() == currency.Behind
	if behind {
		r.metrics.CountEvent("RoutingBehind")
	}
	return kernel.RoutingTrust{MaxKeyAge: r.options.MaxRoutingAge, Behind: behind}
}
