# The bench of the cells package; scripts/bench-cells runs it.
add_executable(cells-bench bench/cells-bench.c bench/cells-work.c
               bench/cells-drive.c)
pf_link(cells-bench cells)
target_link_libraries(cells-bench PRIVATE m pthread)
