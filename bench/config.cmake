add_executable(config-bench bench/config-bench.c)
pf_link(config-bench config)
