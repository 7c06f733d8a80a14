# Real processes under schedules of faults; each seed is a test of its own, so
# that they run beside each other.
add_executable(storm-process-test storm-process-test.cc storm-judge.cc
               storm-stack.cc harness.cc)
pf_link(storm-process-test base)
target_link_libraries(storm-process-test
                      PRIVATE GTest::gtest_main curl jansson)
target_include_directories(storm-process-test
                           PRIVATE ${CMAKE_SOURCE_DIR}/tests)
target_compile_definitions(
  storm-process-test PRIVATE PF_BIN_DIR="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
add_dependencies(storm-process-test parsleyfall parsleyfall-agent fake-platform
                 fake-upstream fake-relay)
foreach(seed 11 23 37 41 59 67 73 89)
  add_test(NAME storm-seed-${seed}
           COMMAND storm-process-test --gtest_filter=*/seed${seed})
endforeach()
