include_guard()
# pf_fake(NAME FILES... PACKAGES p...): a fake of an external service. Fakes are
# built for the tests, the demo and the measurements, and are not shipped.
function(pf_fake name)
  cmake_parse_arguments(F "" "" "PACKAGES" ${ARGN})
  add_executable(${name} ${F_UNPARSED_ARGUMENTS})
  pf_link(${name} ${F_PACKAGES})
  target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/fakes)
  target_link_libraries(${name} PRIVATE argtable2)
endfunction()

pf_fake(fake-upstream fakes/fake.c fakes/upstream.c fakes/upstream-mode.c
        fakes/upstream-runner.c PACKAGES http kernel base)
pf_fake(fake-platform fakes/fake.c fakes/platform.c fakes/platform-rows.c
        PACKAGES http kernel base)
pf_fake(fake-relay fakes/fake.c fakes/relay.c PACKAGES http kernel base)

# pf_process_test(NAME FILES... PACKAGES p... NEEDS programs...): a test that
# runs programs from the build directory.
function(pf_process_test name)
  cmake_parse_arguments(T "" "SHARDS" "PACKAGES;NEEDS" ${ARGN})
  if(T_SHARDS)
    set(T_SHARDS SHARDS ${T_SHARDS})
  endif()
  pf_test(${name} ${T_UNPARSED_ARGUMENTS} harness.cc ${T_SHARDS}
          PACKAGES ${T_PACKAGES})
  target_compile_definitions(
    ${name} PRIVATE PF_BIN_DIR="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
  target_link_libraries(${name} PRIVATE curl jansson)
  foreach(program ${T_NEEDS})
    add_dependencies(${name} ${program})
  endforeach()
endfunction()

pf_test(kernel-test kernel-test.cc PACKAGES kernel)
pf_process_test(platform-test platform-test.cc PACKAGES platform
                NEEDS fake-platform fake-upstream fake-relay)
pf_process_test(http-test http-test.cc PACKAGES http
                NEEDS fake-upstream fake-relay)
pf_process_test(wire-test wire-test.cc PACKAGES wire NEEDS)
set_tests_properties(wire-test PROPERTIES ENVIRONMENT "RC_PARAMS=seed=7")
