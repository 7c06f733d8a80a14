add_executable(wire-bench bench/wire-bench.c)
pf_link(wire-bench wire)
