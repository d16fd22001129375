package kernel

import (
	"slices"
	"sync"

	"basilstall.example/basilstall/model"
)

// defaultMaxTokens limits the generated tokens if neither the caller nor the stage sets a limit.
const defaultMaxTokens = 256

var (
	pluginsMu sync.Mutex
	plugins   = map[model.StageKind]Plugin{}
)

type (
	// StageContext is what a plug-in gets of a request and its stage.
	StageContext struct {
		Request model.Request
		Stage   model.Stage
		// Previous is the output of the preceding stage, zero for the first stage.
		Previous model.StageOutput
	}

	// Plugin implements one kind of stage. It does no I/O: it prepares the call and interprets the reply. Package
	// dispatch makes the calls.
	Plugin struct {
		Kind model.StageKind
		// Path is the path of the endpoint that the call is sent to.
		Path string
		// Streams is true if the endpoint replies with a stream of tokens.
		Streams bool
		// Prepare returns the call without its identity and deadline, which the dispatcher sets.
		Prepare func(StageContext) model.StageCall
		// ParseReply turns a complete reply into the input of the next stage.
		ParseReply func(StageContext, model.StageReply) (model.StageOutput, error)
		// Check returns the reason why a stage's settings are invalid, or "" if they are valid.
		Check func(model.Stage) string
	}
)

// Register registers a plug-in; packages call it from init. It panics if the kind already has one.
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

// PluginKinds returns the registered kinds in sorted order.
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

// MaxTokens returns how many tokens a stage may generate for a request; 0 for a stage of a kind that generates none.
func MaxTokens(req model.Request, stage model.Stage) int {
	if stage.Kind != model.Generate {
		return 0
	}
	limit := stage.MaxTokens
	if limit == 0 {
		limit = defaultMaxTokens
	}
	if req.Input.MaxTokens > 0 {
		return min(limit, req.Input.MaxTokens)
	}
	return limit
}
