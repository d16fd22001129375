package standin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"basilstall.example/basilstall/model"
)

// retrievedItems is how many items a retriever returns; a reranker keeps half of them.
const retrievedItems = 4

// EncodeText is what an encoder answers.
func EncodeText(text string) string {
	return "vec-" + strconv.FormatUint(xxhash.Sum64String(text), 16)
}

// RetrieveItems is what a retriever answers.
func RetrieveItems(vector string) []string {
	items := make([]string, retrievedItems)
	for i := range items {
		items[i] = fmt.Sprintf("doc-%d-of-%s", i, vector)
	}
	return items
}

// RerankItems is what a reranker answers.
func RerankItems(items []string) []string {
	return items[len(items)/2:]
}

// TokenText is the token at an index of an engine's answer to a prompt.
func TokenText(prompt string, index int) string {
	return " " + strconv.FormatUint(xxhash.Sum64String(prompt+"#"+strconv.Itoa(index)), 36)
}

// CallText is what a plain service answers.
func CallText(operation, text string) string {
	return operation + "-" + strconv.FormatUint(xxhash.Sum64String(text), 16)
}

// ExpectedOutput is the whole answer of a pipeline to an input, for checks that an answer is
// whole and belongs to its request.
func ExpectedOutput(p model.Pipeline, in model.Input, maxTokens int) string {
	var vector, output string
	var items []string
	for _, s := range p.Stages {
		switch s.Kind {
		case model.Encode:
			vector = EncodeText(in.Text)
		case model.Retrieve:
			items = RetrieveItems(vector)
		case model.Rerank:
			items = RerankItems(items)
		case model.Generate:
			output = generatedText(strings.Join(append([]string{in.Text}, items...), "\n"), maxTokens)
		case model.Call:
			text := output
			if text == "" {
				text = in.Text
			}
			output = CallText(s.Operation, text)
		}
	}
	return output
}

func generatedText(prompt string, count int) string {
	var b strings.Builder
	for i := range count {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}
