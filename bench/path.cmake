add_executable(path-load bench/path-load.c)
pf_link(path-load http kernel)
