.PHONY: build test ci demo

build:
	go build -o basilstall .

test:
	go test ./...

ci:
	bash .ci/run

demo:
	go run . demo
