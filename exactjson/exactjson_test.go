package exactjson_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/exactjson"
)

type inner struct {
	Keys []string `json:"api_keys"`
}

type outer struct {
	State  string          `json:"state"`
	Inner  []inner         `json:"inner"`
	Raw    json.RawMessage `json:"raw"`
	ByName map[string]int  `json:"by_name"`
	Plain  string
}

// Names that encoding/json would take for those of a field are unknown unless they are spelled as stated. Guards against values of other
// writers that pass for the platform's.
func TestUnmarshalTakesExactNames(t *testing.T) {
	for text, want := range map[string]outer{
		`{"state":"a"}`:                {State: "a"},
		`{"State":"a"}`:                {},
		`{"STATE" : "a", "state":"b"}`: {State: "b"},
		`{"state":"b","State":"a"}`:    {State: "b"},
		`{"ſtate":"a"}`:                {},
		`{"\u0053tate":"a"}`:           {},
		`{"\u0073tate":"a"}`:           {State: "a"},
		`{"inner":[{"api_keys":["k"]},{"API_KEYS":["l"]}]}`:   {Inner: []inner{{Keys: []string{"k"}}, {}}},
		`{"inner":[{"api_K` + "\u212a" + `eys":["l"]}]}`:      {Inner: []inner{{}}},
		`{"state":"State","Plain":"x","plain":"y"}`:           {State: "State", Plain: "x"},
		`{"state":"{\"State\":\"q\"}"}`:                       {State: `{"State":"q"}`},
		`{"raw":{"Other":1},"by_name":{"A":1,"a":2},"x":"y"}`: {Raw: json.RawMessage(`{"Other":1}`), ByName: map[string]int{"A": 1, "a": 2}},
	} {
		var got outer
		before := text
		must.NoError(t, exactjson.Unmarshal([]byte(text), &got), must.Sprint(text))
		must.Eq(t, want, got, must.Sprint(text))
		must.EqOp(t, before, text)
	}
}

// FuzzUnmarshal checks that a value decodes only if it is valid, and that no name spelled otherwise sets a field.
func FuzzUnmarshal(f *testing.F) {
	for _, seed := range []string{`{"state":"a"}`, `{"State":1}`, `{"`, `{"a\"`, `"\`, `{"\ud800":1}`, ``, `[{"inner":[{}]}]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var got outer
		err := exactjson.Unmarshal(data, &got)
		must.EqOp(t, json.Valid(data) || err != nil, true)
		var fields map[string]json.RawMessage
		if err == nil && json.Unmarshal(data, &fields) == nil {
			_, stated := fields["state"]
			must.True(t, stated || got.State == "")
		}
	})
}
