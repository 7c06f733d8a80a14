add_executable(jobs-bench bench/jobs-bench.c)
pf_link(jobs-bench jobs)
