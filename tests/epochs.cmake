include(${CMAKE_CURRENT_SOURCE_DIR}/platform.cmake)
pf_process_test(epochs-process-test epochs-process-test.cc PACKAGES base
                NEEDS parsleyfall fake-platform)
pf_test(epochs-test epochs-test.cc PACKAGES entry)
set_tests_properties(epochs-test PROPERTIES
                     ENVIRONMENT "RC_PARAMS=seed=20261202 max_success=300")
pf_process_test(cli-process-test cli-process-test.cc PACKAGES base
                NEEDS parsleyfall parsleyfall-agent fake-platform)
target_link_libraries(cli-process-test PRIVATE zmq)
