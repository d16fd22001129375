package scenario_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"

	"basilstall.example/basilstall/blame"
	"basilstall.example/basilstall/caller"
	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/engine"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/operator"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/relay"
	"basilstall.example/basilstall/replay"
	"basilstall.example/basilstall/standin"
	"basilstall.example/basilstall/table"
)

var writeEncodings = flag.Bool("write-encodings", false, "write the encodings that the tests compare with")

// Frames between nodes and untagged JSON carry the names of Go fields. These tests fail where a renamed field would
// reach another process or a stored row under a new name.

func TestEncodingsBetweenNodesStay(t *testing.T) {
	compareEncodings(t, "peers.json", encodeMsgpack, map[string]any{
		"BatchPieces":         peer.Batch{},
		"BatchCancel":         peer.BatchCancel{},
		"BatchReply":          peer.BatchReply{},
		"BindStreams":         peer.BindStreams{},
		"CapPermit":           peer.CapPermit{},
		"CapPermitReply":      peer.CapPermitReply{},
		"AskParts":            peer.AskParts{},
		"AskPartsReply":       peer.AskPartsReply{},
		"Clear":               peer.Clear{},
		"Crash":               peer.Crash{},
		"Demand":              peer.Demand{},
		"Empty":               peer.Empty{},
		"Explain":             peer.Explain{},
		"ExplainReply":        peer.ExplainReply{},
		"Feed":                peer.Feed{},
		"FeedReply":           peer.FeedReply{},
		"FindStream":          peer.FindStream{},
		"FindStreamReply":     peer.FindStreamReply{},
		"Forward":             peer.Forward{},
		"ForwardReply":        peer.ForwardReply{},
		"Frame":               peer.Frame{},
		"Grant":               peer.Grant{},
		"GrantReply":          peer.GrantReply{},
		"Handover":            peer.Handover{},
		"HandoverReply":       peer.HandoverReply{},
		"Heartbeat":           peer.Heartbeat{},
		"Hello":               peer.Hello{},
		"HelloReply":          peer.HelloReply{},
		"Hold":                peer.StoreQuarantine{},
		"Place":               peer.Place{},
		"PlaceReply":          peer.PlaceReply{},
		"PlaceReports":        peer.PlaceReports{},
		"ProbeReply":          peer.ProbeReply{},
		"RatePermit":          peer.RatePermit{},
		"RatePermitReply":     peer.RatePermitReply{},
		"Relay":               peer.Relay{},
		"RelayData":           peer.RelayData{},
		"RelayEnd":            peer.RelayEnd{},
		"RelayHead":           peer.RelayHead{},
		"RelayReply":          peer.RelayReply{},
		"RelayRequest":        peer.RelayRequest{},
		"RelaySent":           peer.RelaySent{},
		"RelayStage":          peer.RelayStage{},
		"RelayStageEnd":       peer.RelayStageEnd{},
		"RelayToken":          peer.RelayToken{},
		"Release":             peer.Release{},
		"Return":              peer.CallerWait{},
		"ReturnReply":         peer.CallerWaitReply{},
		"Seal":                peer.Seal{},
		"SealReply":           peer.SealReply{},
		"SettingsPull":        peer.SettingsPull{},
		"SettingsReply":       peer.SettingsReply{},
		"TakeOver":            peer.TakeOver{},
		"TakeOverReply":       peer.TakeOverReply{},
		"SpreadQuarantine":    peer.SpreadQuarantine{},
		"Trial":               peer.Trial{},
		"TrialReply":          peer.TrialReply{},
		"KindsOfCallsByOrder": kinds(),
	})
}

func TestEncodingsOfStoredRowsStay(t *testing.T) {
	compareEncodings(t, "stored.json", encodeJSON, map[string]any{
		"Document":    model.Document{},
		"Era":         kernel.Era{},
		"HeldRequest": kernel.HeldRequest{},
		"KeyRow":      table.KeyRow{},
		"Lease":       kernel.Lease{},
		"Node":        relay.Node{},
		"Notices":     table.Notices{},
		"RateCap":     model.RateCap{},
		"VersionRow":  kernel.VersionRow{},
	})
}

func TestEncodingsForCallersOperatorsAndEndpointsStay(t *testing.T) {
	compareEncodings(t, "http.json", encodeJSON, map[string]any{
		"Answer":         caller.AnswerBody{},
		"Body":           caller.RequestBody{},
		"Change":         operator.Change{},
		"ChangeResult":   operator.ChangeResult{},
		"Committed":      table.Committed{},
		"Conflict":       table.Conflict{},
		"EndpointStatus": dispatch.EndpointStatus{},
		"Fault":          standin.Fault{},
		"Host":           model.Host{},
		"HostList":       model.HostList{},
		"JournalSummary": standin.JournalSummary{},
		"LogLine":        blame.Line{},
		"Order":          engine.OrderMessage{},
		"OrderRun":       standin.OrderRecord{},
		"Problem":        operator.Problem{},
		"Record":         model.Record{},
		"Refusal":        caller.RefusalBody{},
		"Report":         replay.Report{},
		"Row":            table.Row{},
		"Run":            standin.Run{},
		"Snapshot":       model.Snapshot{},
		"StageCall":      model.StageCall{},
		"StageReply":     model.StageReply{},
		"State":          engine.StateMessage{},
		"Status":         operator.Status{},
		"Token":          caller.TokenBody{},
		"TokenEvent":     model.TokenEvent{},
		"TraceEntry":     replay.Entry{},
		"TraceHead":      replay.Header{},
		"Transaction":    table.Transaction{},
		"Usage":          standin.Usage{},
	})
}

// kinds holds the numbers under which nodes send their calls.
func kinds() any {
	return []peer.Kind{
		peer.KindHello, peer.KindPing, peer.KindHeartbeat, peer.KindForward, peer.KindSettings, peer.KindHandover,
		peer.KindExplain, peer.KindDemand, peer.KindGrant, peer.KindSeal, peer.KindBatch, peer.KindBatchCancel,
		peer.KindRelease, peer.KindProbe, peer.KindFeed, peer.KindCallerWait, peer.KindTakeOver, peer.KindCrash,
		peer.KindTrial, peer.KindClear, peer.KindStoreQuarantine, peer.KindCapPermit, peer.KindRatePermit,
		peer.KindRelay, peer.KindRelayRequest, peer.KindRelaySent, peer.KindRelayHead, peer.KindRelayData, peer.KindRelayEnd, peer.KindRelayStage, peer.KindRelayToken, peer.KindRelayStageEnd,
		peer.KindBindStreams, peer.KindFindStream, peer.KindSpreadQuarantine, peer.KindAskParts, peer.KindPlace, peer.KindPlaceReports,
	}
}

func compareEncodings(t *testing.T, file string, encode func(t *testing.T, value any) any, values map[string]any) {
	t.Helper()
	encoded := map[string]any{}
	for name, value := range values {
		filled := reflect.New(reflect.TypeOf(value)).Elem()
		filled.Set(reflect.ValueOf(value))
		if filled.Kind() == reflect.Struct {
			fill(filled, 0)
		}
		encoded[name] = encode(t, filled.Interface())
	}
	got, err := json.MarshalIndent(encoded, "", " ")
	must.NoError(t, err)
	path := filepath.Join("testdata", "encodings", file)
	if *writeEncodings {
		must.NoError(t, os.WriteFile(path, append(got, '\n'), 0o600))
	}
	want, err := os.ReadFile(path)
	must.NoError(t, err)
	must.EqOp(t, string(want), string(got)+"\n")
}

func encodeMsgpack(t *testing.T, value any) any {
	t.Helper()
	body, err := peer.EncodeBody(value)
	must.NoError(t, err)
	var decoded any
	must.NoError(t, msgpack.Unmarshal(body, &decoded))
	return decoded
}

func encodeJSON(t *testing.T, value any) any {
	t.Helper()
	body, err := json.Marshal(value)
	must.NoError(t, err)
	return json.RawMessage(body)
}

// fill sets all exported fields below a value, so that none is left out where it is empty.
func fill(v reflect.Value, depth int) {
	const deepest = 12
	if depth > deepest || !v.CanSet() {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		if _, isTime := v.Interface().(time.Time); isTime {
			v.Set(reflect.ValueOf(time.Unix(1_700_000_000, 0).UTC()))
			return
		}
		for i := range v.NumField() {
			fill(v.Field(i), depth+1)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), depth+1)
	case reflect.Slice:
		if v.Type() == reflect.TypeFor[msgpack.RawMessage]() {
			v.SetBytes([]byte{1})
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, depth+1)
		fill(value, depth+1)
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1.5)
	default:
		fillInteger(v)
	}
}

func fillInteger(v reflect.Value) {
	switch {
	case v.CanInt():
		v.SetInt(1)
	case v.CanUint():
		v.SetUint(1)
	}
}
