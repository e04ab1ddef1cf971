# Simulates the selection policies in virtual time. Equal seeds give equal results.
BENCH_SEED ?= 1
BENCH_SEEDS ?= 3
BENCH_WORKERS ?= 4

bench:
	$(GO) build -o $(BIN)/ ./cmd/lentilpin-bench
	$(BIN)/lentilpin-bench --seed $(BENCH_SEED) --seeds $(BENCH_SEEDS) --workers $(BENCH_WORKERS) --out out
