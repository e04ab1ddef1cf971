# Simulates the selection policies in virtual time. Equal seeds give equal results.
BENCH_SEED ?= 1
BENCH_SEEDS ?= 3
BENCH_WORKERS ?= 4

# A seed of the workloads takes about as long as one of the other scenarios; the figures in
# docs/design are those of three seeds.
BENCH_WORKLOAD_SEEDS ?= 1
WORKLOADS := three-20,three-133,four-20,four-214,even-20,even-133

bench:
	$(GO) build -o $(BIN)/ ./cmd/lentilpin-bench
	$(BIN)/lentilpin-bench --seed $(BENCH_SEED) --seeds $(BENCH_SEEDS) --workers $(BENCH_WORKERS) --out out --deployment finland,bavaria
	$(BIN)/lentilpin-bench --seed $(BENCH_SEED) --seeds $(BENCH_WORKLOAD_SEEDS) --workers $(BENCH_WORKERS) --out out/workloads --deployment $(WORKLOADS)
