package peer

import "time"

type (
	// Place asks the placer of a pool of engines for an engine for an attempt at a stream. Times are relative because the
	// clocks of hosts differ.
	Place struct {
		Pool string
		// OnlyAsk requests only the expected time; nothing is placed.
		OnlyAsk bool
		// The engines of the pool are divided into Groups, of which Group, from 0 on, is asked for.
		Group  int
		Groups int
		// Node is the name of the sender, Number unique among its attempts.
		Node   string
		Number uint64
		Tokens int
		// PartKeys and PartTokens are those of the parts of the prompt, in order (see placement.Part).
		PartKeys   []uint64
		PartTokens []int
		// DueIn is the time until the first event is due, DeadlineIn until the attempt has ended at the latest.
		DueIn      time.Duration
		DeadlineIn time.Duration
		// Excluded lists incarnations that must not be chosen. Versions and Regions list those that are allowed; empty for
		// any.
		Excluded []string
		Versions []string
		Regions  []string
		// Reports are those on earlier attempts that wait to be sent.
		Reports []PlaceReport
	}

	// PlaceReply is the reply to Place.
	PlaceReply struct {
		// Leaving is true if the node no longer places streams because it is leaving. The sender then asks another node.
		Leaving bool
		// Incarnations are the best engines in order, with the expected times to the first event; empty if none may be
		// chosen. The reply to a message with OnlyAsk has only the expected time at the first engine, and its failure domain.
		Incarnations []string
		Expected     []time.Duration
		Domain       string
	}

	// PlaceReports reports what became of the placed attempts of the sender.
	PlaceReports struct {
		Pool    string
		Group   int
		Groups  int
		Node    string
		Reports []PlaceReport
	}

	// PlaceReport is a report on one attempt. The fields correspond to those of placement.Report.
	PlaceReport struct {
		Number      uint64
		Kind        uint8
		Incarnation string
		Elapsed     time.Duration
		Load        *PlaceLoad
		PartKeys    []uint64
		PartTokens  []int
	}

	// PlaceLoad is the load that an engine reported with its answer.
	PlaceLoad struct {
		Running    int
		Queued     int
		Slots      int
		Contention float64
		// Ago is the time since the report.
		Ago time.Duration
	}
)
