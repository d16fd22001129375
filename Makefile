.PHONY: build test ci demo measure tools

build:
	go build -o basilstall .

test:
	bash .ci/test

ci:
	bash .ci/run

demo:
	go run . demo

# Reprints the table of docs/design/measurements.md; takes about 13 minutes.
measure:
	go run . measure traces/bilbao.jsonl traces/moravia.jsonl

# Installs the language server; `gopls rename` is what renames identifiers.
tools:
	go install golang.org/x/tools/gopls@v0.23.0
