package operator

import (
	"time"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/table"
)

type (
	// Status is what operators see of a node and of the fleet as it sees it.
	Status struct {
		Node          string
		Incarnation   string
		FailureDomain string
		Ready         bool
		NotReady      string `json:",omitempty"`
		Draining      bool
		TableAnswers  bool
		Revision      uint64
		InFlight      int64
		Era           uint64
		EraMembers    []string
		// EraFrom is the first key time of the newest era.
		EraFrom time.Time
		Horizon time.Time
		// Keys counts the keys that the node remembers.
		Keys    int
		Members []MemberStatus
		// Evacuated lists the failure domains whose endpoints get no work.
		Evacuated []EvacuatedDomain
	}

	// EvacuatedDomain is a failure domain that is evacuated, and since when as the node knows it.
	EvacuatedDomain struct {
		FailureDomain string
		Since         time.Time
	}

	// MemberStatus is one node as another sees it.
	MemberStatus struct {
		Node          string
		Incarnation   string
		FailureDomain string
		State         string
	}

	// Change asks for a change of settings.
	Change struct {
		// Base is the revision of the document that the change was made from; 0 for a new one.
		Base uint64
		// Operation is unique to the change; asking again with it does no harm.
		Operation string
		Author    string
		YAML      string
	}

	// ChangeResult says what became of a change.
	ChangeResult struct {
		Outcome   table.ChangeOutcome
		Operation string
		// Revision is the change's, where it was applied.
		Revision uint64 `json:",omitempty"`
		// Current is the document that won the race, where the change lost it.
		Current *model.Document `json:",omitempty"`
		Detail  string          `json:",omitempty"`
	}

	// Problem is an error with a sentence.
	Problem struct {
		Detail string
	}
)
