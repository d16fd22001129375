package kernel

import (
	"slices"
	"sync"

	"basilstall.example/basilstall/model"
)

// defaultMaxTokens holds where neither the caller nor the stage says how many tokens.
const defaultMaxTokens = 256

var (
	pluginsMu sync.Mutex
	plugins   = map[model.StageKind]Plugin{}
)

type (
	// Work is what a plug-in knows of the stage that it prepares.
	StageContext struct {
		Request model.Request
		Stage   model.Stage
		Carry   model.Carry
	}

	// Plugin carries out one kind of stage. It does no I/O itself: it prepares the call and
	// judges the reply; package dispatch makes the calls.
	Plugin struct {
		Kind model.StageKind
		// Path is the endpoint's path that takes the call.
		Path string
		// Streams is true where the endpoint answers with a stream of tokens.
		Streams bool
		// Prepare fills the call's fields beyond its identity and deadline.
		Prepare func(StageContext) model.StageCall
		// Accept turns a whole reply into what the next stage gets.
		Accept func(StageContext, model.StageReply) (model.Carry, error)
		// Check returns what is wrong with a stage's settings, or "".
		Check func(model.Stage) string
	}
)

// Register adds a plug-in; packages call it from init. A second plug-in of one kind panics.
func Register(p Plugin) {
	pluginsMu.Lock()
	defer pluginsMu.Unlock()
	if _, taken := plugins[p.Kind]; taken {
		panic("kernel: two plug-ins for stage kind " + string(p.Kind))
	}
	plugins[p.Kind] = p
}

// PluginFor returns the plug-in of a stage kind.
func PluginFor(kind model.StageKind) (Plugin, bool) {
	pluginsMu.Lock()
	defer pluginsMu.Unlock()
	p, ok := plugins[kind]
	return p, ok
}

// PluginKinds returns the registered kinds in order.
func PluginKinds() []model.StageKind {
	pluginsMu.Lock()
	defer pluginsMu.Unlock()
	kinds := make([]model.StageKind, 0, len(plugins))
	for kind := range plugins {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// MaxTokens returns how many tokens a stage may generate for a request; zero for a stage that
// generates none.
func MaxTokens(req model.Request, stage model.Stage) int {
	if stage.Kind != model.Generate {
		return 0
	}
	most := stage.MaxTokens
	if most == 0 {
		most = defaultMaxTokens
	}
	if req.Input.MaxTokens > 0 {
		return min(most, req.Input.MaxTokens)
	}
	return most
}
