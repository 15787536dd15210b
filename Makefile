# Programs are built into bin/. The scripts write the settings and logs of the
# processes that they start into run/.
MODULES := core base router platform ctl lab/engine lab/fleet lab/list lab/load lab/log lab/service lab/soak proof
TOOLS := $(CURDIR)/bin/tools
GOLANGCI_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
SPIN_VERSION := 6.5.2

.PHONY: build test lint format vet model demo measure bench soak hostile fuzz tools clean

build:
	go build -o bin/camphorpulley ./router
	go build -o bin/camphorpulley-platform ./platform
	go build -o bin/camphorctl ./ctl
	go build -o bin/lab-engine ./lab/engine
	go build -o bin/lab-fleet ./lab/fleet
	go build -o bin/lab-list ./lab/list
	go build -o bin/lab-load ./lab/load
	go build -o bin/lab-log ./lab/log
	go build -o bin/lab-service ./lab/service
	go build -o bin/lab-soak ./lab/soak

test: build
	go test -count=1 $(MODULES:%=./%/...)
	HOSTILE=1 go test -count=1 ./lab/soak/hostile
	$(MAKE) fuzz
	bash lab/explain/check.sh
	bash lab/e2e.sh
	bin/lab-soak run --seeds lab/soak/seeds.txt --for 6s

format:
	@bad=$$(gofmt -l $(MODULES)); if [ -n "$$bad" ]; then echo "not formatted: $$bad"; exit 1; fi

vet:
	go vet $(MODULES:%=./%/...)

tools: $(TOOLS)/golangci-lint $(TOOLS)/gopls

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

$(TOOLS)/gopls:
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

lint: $(TOOLS)/golangci-lint
	@for m in $(MODULES); do (cd $$m && $(TOOLS)/golangci-lint run --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

model:
	bash model/check.sh $(SPIN_VERSION)

demo: build
	bash lab/demo.sh $(SHEET)

measure: build
	bash lab/measure.sh

soak: build
	bin/lab-soak run --seed $(or $(SEED),1) --count $(or $(COUNT),10)

# One at a time, apart from the other tests: each loads the machine.
hostile: build
	HOSTILE=1 go test -count=1 ./lab/soak/hostile

# A bounded number of inputs for each target.
fuzz:
	go test ./router/blocks -run '^$$' -fuzz FuzzChunks -fuzztime $(or $(FUZZ),5000x) -parallel 2
	go test ./router/gateway -run '^$$' -fuzz FuzzRequest -fuzztime $(or $(FUZZ),2000x) -parallel 2

bench:
	go test -run '^$$' -bench . -benchmem $(MODULES:%=./%/...)

clean:
	rm -rf bin run
