package operator

import (
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/table"
)

type (
	// Status is the state of a node, and of the fleet as known to the node.
	Status struct {
		Node          string
		Incarnation   string
		FailureDomain string
		Ready         bool
		// NotReady is the reason if Ready is false.
		NotReady string `json:",omitempty"`
		Draining bool
		// TableAnswers is false if the last call to the table failed.
		TableAnswers bool
		// Revision is the revision of the settings in force.
		Revision uint64
		// InFlight is the number of requests in flight.
		InFlight int64
		// Era is the number of the newest era (see kernel.Era), and EraMembers are its members.
		Era        uint64
		EraMembers []string
		// EraFrom is the earliest key time of the newest era.
		EraFrom time.Time
		// Horizon is the end of the key time that has owners.
		Horizon time.Time
		// Keys is the number of keys in the node's ledger.
		Keys    int
		Members []MemberStatus
		// Evacuated lists the failure domains to whose endpoints no work is sent.
		Evacuated []EvacuatedDomain
		// Customers are the customers with the most requests and use at this node, at most ten.
		Customers []kernel.CustomerUse `json:",omitempty"`
	}

	// EvacuatedDomain is an evacuated failure domain. Since is when it was evacuated, as far as the node knows.
	EvacuatedDomain struct {
		FailureDomain string
		Since         time.Time
	}

	// MemberStatus is the state of a node as known to another node.
	MemberStatus struct {
		Node          string
		Incarnation   string
		FailureDomain string
		State         string
	}

	// Change is a requested change of a document of the settings.
	Change struct {
		// Base is the revision of the document on which the change is based; 0 for a new document.
		Base uint64
		// Operation identifies the change, so that it can be repeated safely. If it is empty, the server chooses one.
		Operation string
		Author    string
		YAML      string
	}

	// ChangeResult is the outcome of a change.
	ChangeResult struct {
		Outcome   table.ChangeOutcome
		Operation string
		// Revision is the revision that the change created, if it was applied.
		Revision uint64 `json:",omitempty"`
		// Current is the present document, if it is newer than the base revision of the change.
		Current *model.Document `json:",omitempty"`
		Detail  string          `json:",omitempty"`
	}

	// Problem is the body of an error response. Detail is a sentence for the operator.
	Problem struct {
		Detail string
	}
)
