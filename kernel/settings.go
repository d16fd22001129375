package kernel

import (
	"strings"
	"time"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/yamldoc"
)

const (
	// FleetPath is the path of the document that applies to the whole fleet.
	FleetPath = "fleet"
	// TeamsPath is the prefix of the paths of the teams' documents.
	TeamsPath = "teams/"

	defaultHorizon            = 2 * time.Minute
	defaultFirmHorizon        = 6 * time.Second
	defaultRetention          = 10 * time.Minute
	defaultWeightLoadInterval = 500 * time.Millisecond
)

type (
	// Caller is the team and customer that a token belongs to.
	Caller struct {
		Team     string
		Customer model.Customer
	}

	// Settings are the settings in force on a node. They are immutable, and their revision never decreases.
	Settings struct {
		// Revision is the head revision of the fleet's settings that these settings were made from.
		Revision uint64
		Fleet    model.FleetSettings
		// Documents holds the accepted documents by path.
		Documents map[string]model.Document

		teams  map[string]model.TeamSettings
		tokens map[string]Caller
	}
)

// NewSettings returns the default settings, of a fleet without documents.
func NewSettings() Settings {
	return Settings{
		Fleet:     model.FleetSettings{Horizon: defaultHorizon, FirmHorizon: defaultFirmHorizon, Retention: defaultRetention, WeightLoadEvery: defaultWeightLoadInterval},
		Documents: map[string]model.Document{},
		teams:     map[string]model.TeamSettings{},
		tokens:    map[string]Caller{},
	}
}

// Caller returns the caller that a token belongs to.
func (s Settings) Caller(token string) (Caller, bool) {
	c, ok := s.tokens[token]
	return c, ok
}

// Pipeline returns a team's pipeline.
func (s Settings) Pipeline(team, name string) (model.Pipeline, bool) {
	for _, p := range s.teams[team].Pipelines {
		if p.Name == name {
			return p, true
		}
	}
	return model.Pipeline{}, false
}

// Customer returns a team's customer.
func (s Settings) Customer(team, name string) (model.Customer, bool) {
	for _, c := range s.teams[team].Customers {
		if c.Name == name {
			return c, true
		}
	}
	return model.Customer{}, false
}

// Teams returns the settings of all teams, in no particular order.
func (s Settings) Teams() []model.TeamSettings {
	out := make([]model.TeamSettings, 0, len(s.teams))
	for _, t := range s.teams {
		out = append(out, t)
	}
	return out
}

// WithSnapshot returns the settings after a snapshot of the documents was read, from the table or from a peer. A
// snapshot that is not newer changes nothing: settings never revert. An invalid document is refused as a whole: the
// one in force at its path is kept, and the returned errors say why.
func (s Settings) WithSnapshot(snapshot model.Snapshot) (Settings, []error) {
	if snapshot.Revision <= s.Revision {
		return s, nil
	}
	next := NewSettings()
	next.Revision = snapshot.Revision
	var refused []error
	for _, doc := range snapshot.Documents {
		current, exists := s.Documents[doc.Path]
		if exists && current.Revision >= doc.Revision {
			doc = current
		}
		if err := next.addDocument(doc); err != nil {
			refused = append(refused, err)
			if exists {
				_ = next.addDocument(current)
			}
		}
	}
	next.indexTokens()
	return next, refused
}

// Check returns the error of a document that is to be set at a path, given all other documents in force, or nil if it
// is valid.
func (s Settings) Check(path, text string) error {
	next := NewSettings()
	if err := next.addDocument(model.Document{Path: path, YAML: text}); err != nil {
		return err
	}
	for _, team := range next.teams {
		for _, c := range team.Customers {
			if other, taken := s.tokens[c.Token]; taken && other.Team != team.Team {
				return yamldoc.NewError(path, "customer %s: the token is taken by another team", c.Name)
			}
		}
	}
	return nil
}

// addDocument decodes and validates a document and adds it to the settings.
func (s *Settings) addDocument(doc model.Document) error {
	if doc.Path == FleetPath {
		fleet := s.Fleet
		if err := yamldoc.Decode(doc.Path, []byte(doc.YAML), &fleet); err != nil {
			return err
		}
		s.Fleet = fleet
		s.Documents[doc.Path] = doc
		return nil
	}
	name, isTeam := strings.CutPrefix(doc.Path, TeamsPath)
	if !isTeam || name == "" || strings.Contains(name, "/") {
		return yamldoc.NewError(doc.Path, "a path is %q or %qNAME", FleetPath, TeamsPath)
	}
	var team model.TeamSettings
	if err := yamldoc.Decode(doc.Path, []byte(doc.YAML), &team); err != nil {
		return err
	}
	if err := checkTeam(doc.Path, name, team); err != nil {
		return err
	}
	s.teams[name] = team
	s.Documents[doc.Path] = doc
	return nil
}

// indexTokens maps the tokens to callers. A token that two teams claim belongs to the document with the lower revision,
// so that all nodes decide alike.
func (s *Settings) indexTokens() {
	revisions := map[string]uint64{}
	for name, team := range s.teams {
		revision := s.Documents[TeamsPath+name].Revision
		for _, c := range team.Customers {
			if earlier, taken := revisions[c.Token]; taken && earlier < revision {
				continue
			}
			revisions[c.Token] = revision
			s.tokens[c.Token] = Caller{Team: name, Customer: c}
		}
	}
}

func checkTeam(path, name string, team model.TeamSettings) error {
	if team.Team != name {
		return yamldoc.NewError(path, "Team is %q, but the path says %q", team.Team, name)
	}
	names := map[string]bool{}
	tokens := map[string]bool{}
	for _, c := range team.Customers {
		if names[c.Name] {
			return yamldoc.NewError(path, "two customers have the name %q", c.Name)
		}
		if tokens[c.Token] {
			return yamldoc.NewError(path, "customer %s: another customer has the same token", c.Name)
		}
		names[c.Name] = true
		tokens[c.Token] = true
	}
	pipelines := map[string]bool{}
	for _, p := range team.Pipelines {
		if pipelines[p.Name] {
			return yamldoc.NewError(path, "two pipelines have the name %q", p.Name)
		}
		pipelines[p.Name] = true
		if err := checkPipeline(path, p); err != nil {
			return err
		}
	}
	return nil
}

func checkPipeline(path string, p model.Pipeline) error {
	names := map[string]bool{}
	nonIdempotent := 0
	for _, stage := range p.Stages {
		if names[stage.Name] {
			return yamldoc.NewError(path, "pipeline %s: two stages have the name %q", p.Name, stage.Name)
		}
		names[stage.Name] = true
		plugin, known := PluginFor(stage.Kind)
		if !known {
			return yamldoc.NewError(path, "pipeline %s, stage %s: unknown Kind %q, known are %v", p.Name, stage.Name, stage.Kind, PluginKinds())
		}
		if reason := plugin.Check(stage); reason != "" {
			return yamldoc.NewError(path, "pipeline %s, stage %s: %s", p.Name, stage.Name, reason)
		}
		if stage.NonIdempotent {
			nonIdempotent++
		}
	}
	if nonIdempotent > 1 {
		return yamldoc.NewError(path, "pipeline %s: at most one stage may be NonIdempotent", p.Name)
	}
	if p.Keys != "" && nonIdempotent == 0 {
		return yamldoc.NewError(path, "pipeline %s: Keys is of use only with a NonIdempotent stage", p.Name)
	}
	return nil
}
