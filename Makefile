.PHONY: build test ci demo measure

build:
	go build -o basilstall .

test:
	go test ./...

ci:
	bash .ci/run

demo:
	go run . demo

# Reprints the table of docs/design/measurements.md; takes about 13 minutes.
measure:
	go run . measure traces/bilbao.jsonl traces/moravia.jsonl
