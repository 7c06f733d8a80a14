# Storm tests: fault injection on real processes. Each seed is a test of its
# own, so that seeds run in parallel.
function(pf_storm name)
  add_executable(${name} ${ARGN} storm-stack.cc harness.cc)
  pf_link(${name} base)
  target_link_libraries(${name} PRIVATE GTest::gtest_main curl jansson)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_compile_definitions(
    ${name} PRIVATE PF_BIN_DIR="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
  add_dependencies(${name} parsleyfall parsleyfall-agent fake-platform
                   fake-upstream fake-relay)
endfunction()

pf_storm(storm-process-test storm-process-test.cc storm-judge.cc)
foreach(seed 11 23 37 41 59 67 73 89)
  add_test(NAME storm-seed-${seed}
           COMMAND storm-process-test --gtest_filter=*/seed${seed})
endforeach()

pf_storm(storm-found-test storm-found-test.cc)
add_test(NAME storm-found-test COMMAND storm-found-test)
